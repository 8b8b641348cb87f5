import { expect } from 'chai';
import { type JSONRPCServer } from 'json-rpc-2.0';
import { type OperatedParts, operatorMethods } from '../../daemon/operator_methods.js';
import { Fixture } from '../source/fixture.js';

const TEXT = `
id: opening
author: dana
add: { upstreams: [{ name: listings }] }
`;

/** The operator methods of an instance that has only a source and a clock. */
function methodsFor(fixture: Fixture): JSONRPCServer {
  const { clock } = fixture;
  return operatorMethods({
    source: fixture.source(),
    acceptsNotes: true,
    clock,
  } as OperatedParts);
}

async function call(methods: JSONRPCServer, method: string, params: unknown): Promise<unknown> {
  const answer = await methods.receive({ jsonrpc: '2.0', id: 1, method, params });
  return answer?.error ?? (answer?.result as unknown);
}

describe('operatorMethods', () => {
  it('audits a text that is not a valid release note', async () => {
    using fixture = new Fixture();
    const methods = methodsFor(fixture);
    const answers = [
      await call(methods, 'submit', { text: '{id: [' }),
      await call(methods, 'amend', { text: `${TEXT}colour: blue` }),
      await call(methods, 'check', { text: '{id: [', action: 'submit' }),
      await call(methods, 'audit', {}),
      await call(methods, 'audit', { note: 'opening' }),
    ];
    expect(answers).toMatchSnapshot();
  });

  it('returns a verdict on whether a failed call may have run', async () => {
    using fixture = new Fixture();
    const methods = methodsFor(fixture);
    const malformed = await call(methods, 'withdraw', { note: 'opening' });
    fixture.store.faults.down = true;
    const refused = await call(methods, 'submit', { text: TEXT });
    expect([malformed, refused]).toMatchSnapshot();
  });
});
