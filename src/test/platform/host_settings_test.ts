import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { readHostFile, settingsOf } from '../../platform/host_settings.js';

const FILE = {
  nodeName: 'sidecar-arima-1',
  role: 'sidecar',
  ip: '10.1.0.41',
  zone: 'arima',
  listen: {
    inbound: '10.1.0.41:8624',
    outbound: '10.1.0.41:8629',
    ready: '10.1.0.41:8625',
    control: '10.1.0.41:8620',
  },
  internalPortRange: [7600, 7615],
  seeds: ['10.2.0.7:8620'],
  heartbeat: '1500ms',
  limits: { maxFds: 4100 },
  bounds: { grace: '6s', retryBudgetRatio: 0.2, budgetSlack: 58, budgetWindow: '10s' },
  appAddr: '10.1.0.41:8628',
  service: 'huvo11a',
  platform: { address: '10.200.1.7:8627', form: 'objects' },
  somethingNew: true,
};

describe('readHostFile', () => {
  async function read(text: string) {
    const folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    const path = join(folder, 'settings.json');
    try {
      await writeFile(path, text);
      return await readHostFile(path);
    } finally {
      await rm(folder, { recursive: true });
    }
  }

  it('converts the platform’s file to settings, and ignores unknown fields', async () => {
    expect(settingsOf(await read(JSON.stringify(FILE)))).toMatchSnapshot();
  });

  it('reports what is wrong with an invalid file', async () => {
    for (const text of ['{', JSON.stringify({ ...FILE, ip: 'here', heartbeat: 'often' })]) {
      const failure = await read(text).catch((error: Error) => error);
      expect((failure as Error).name).to.equal('SettingsError');
      expect((failure as Error).message).to.match(/settings\.json: .*(JSON|ip)/s);
    }
  });
});
