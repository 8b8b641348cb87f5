import { type IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { MeshDialect } from '../../platform/mesh_dialect.js';

function message(headers: Record<string, string>, statusCode = 200): IncomingMessage {
  return { headers, statusCode } as unknown as IncomingMessage;
}

describe('MeshDialect', () => {
  const dialect = new MeshDialect(() => 'listings');
  const asked = message({ 'barleyhaven-request-id': 'a' });

  it('classifies answers to a request', () => {
    const own = { 'barleyhaven-request-id': 'a' };
    const cases = {
      'an answer': message(own),
      'a failure of its own': message(own, 500),
      'an answer without an id': message({}),
      'an answer to another request': message({ 'barleyhaven-request-id': 'b' }),
      'no room': message({ ...own, 'barleyhaven-not-executed': '1' }, 503),
      'no room, it says, without the proof': message(own, 503),
      'another instance at that address': message({ 'barleyhaven-instance-id': 'i-2' }, 421),
      'a request that it cannot read': message({ 'barleyhaven-not-executed': '1' }, 400),
    };
    const meanings = Object.entries(cases).map(([name, answer]) => [
      name,
      dialect.classifyResponse(asked, answer),
    ]);
    expect(Object.fromEntries(meanings)).toMatchSnapshot();
  });

  it('sends the remaining time, the target instance and the caller’s service', () => {
    expect(dialect.guardHeaders(730, 'i-1')).to.deep.equal([
      'barleyhaven-timeout-ms',
      '730',
      'barleyhaven-target-instance',
      'i-1',
    ]);
    expect(dialect.entryHeaders(undefined)).to.deep.equal([
      'barleyhaven-caller-service',
      'listings',
    ]);
    expect(dialect.entryHeaders('savers')).to.deep.equal([
      'barleyhaven-caller-service',
      'listings',
      'barleyhaven-tenant',
      'savers',
    ]);
    expect(dialect.callerTimeoutMs({ 'barleyhaven-timeout-ms': '2500' })).to.equal(2_500);
    expect(dialect.callerTimeoutMs({})).to.equal(undefined);
  });

  it('identifies only instances that accept work and report their slots', () => {
    const headers = { 'barleyhaven-instance-id': 'i-1', 'barleyhaven-server-load': '3,0,18' };
    expect(dialect.identityOf(message(headers))).to.deep.equal({ id: 'i-1', slots: 18 });
    expect(dialect.identityOf(message(headers, 503))).to.equal(undefined);
    expect(dialect.refusesWork(message(headers, 503))).to.equal(true);
    expect(dialect.refusesWork(message({ 'barleyhaven-not-executed': '1' }, 503))).to.equal(false);
    expect(dialect.refusesWork(message(headers))).to.equal(false);
    expect(dialect.identityOf(message({ 'barleyhaven-instance-id': 'i-1' }))).to.equal(undefined);
  });

  it('reads the rate limit of an instance; its own answer without one means that it has none', () => {
    const signed = { 'barleyhaven-response-signature': 's' };
    const cases = {
      'an answer that states one': message({ ...signed, 'server-limit': '23.2' }),
      'an answer that states none': message(signed),
      'a refusal that states one': message({ 'server-limit': '0' }, 503),
      'a refusal that states none': message({}, 503),
      'an answer that states something else': message({ ...signed, 'server-limit': 'many' }),
    };
    const rates = Object.entries(cases).map(([name, answer]) => [
      name,
      dialect.rateLimitOf(answer),
    ]);
    expect(Object.fromEntries(rates)).toMatchSnapshot();
  });

  it('reads whether an instance is leaving', () => {
    const values = ['1', '0', ''].map((value) => message({ 'server-leaving': value }));
    expect([...values, message({})].map((answer) => dialect.isLeaving(answer))).to.deep.equal([
      true,
      false,
      false,
      false,
    ]);
  });

  it('gives the retry delay in fractions of a second', () => {
    expect([dialect.retryAfter(125), dialect.retryAfter(-5)]).to.deep.equal(['0.125', '0.001']);
  });
});
