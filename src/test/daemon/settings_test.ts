import { expect } from 'chai';
import { readSettings, SettingsError } from '../../daemon/settings.js';

const GOOD = { instance: 'a-1', dataCentre: 'arima', platform: 'http://127.0.0.1:9000' };

describe('readSettings', () => {
  it('prefers flags to the environment and uses defaults for the rest', () => {
    const environment = { BARLEYHAVEN_FANOUT: '3', BARLEYHAVEN_PROFILE: 'bytes' };
    const settings = readSettings({ ...GOOD, profile: 'convergence' }, environment);
    expect(settings).toMatchSnapshot();
  });

  it('splits the list of peers', () => {
    const { peers } = readSettings({ ...GOOD, peers: '127.0.0.1:7000,127.0.0.2:7001' }, {});
    expect(peers).to.deep.equal([
      { host: '127.0.0.1', port: 7000 },
      { host: '127.0.0.2', port: 7001 },
    ]);
  });

  it('names the flag, the value and what is allowed for each invalid setting', () => {
    const bad = { ...GOOD, callerPort: 70_000, peers: 'somewhere', profile: 'fast' };
    expect(() => readSettings(bad, { BARLEYHAVEN_FANOUT: '0' })).to.throw(SettingsError);
    expect(problemsOf(bad, { BARLEYHAVEN_FANOUT: '0' })).toMatchSnapshot();
  });

  it('names missing settings', () => {
    expect(problemsOf({}, {})).toMatchSnapshot();
  });
});

function problemsOf(flags: Record<string, unknown>, environment: NodeJS.ProcessEnv): string[] {
  try {
    readSettings(flags, environment);
    return [];
  } catch (error) {
    return String((error as Error).message).split('\n');
  }
}
