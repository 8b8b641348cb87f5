/**
 * Runs an upstream instance as a process. Arguments: name of the upstream, operators' port of the
 * daemon to announce it to or 0, slots, and the time an answer takes in milliseconds. Its control
 * port returns how often each request was run; a path such as `/draining` sets the endpoint state.
 */
import { createServer } from 'node:http';
import { EndpointState } from '../contracts.js';
import { MachineClock } from '../runtime/clock.js';
import { listen } from '../standins/listen.js';
import { UpstreamServer } from '../standins/upstream_server.js';

const [upstream = '', operatorsPort = '0', slots = '20', delayMs = '0'] = process.argv.slice(2);
const server = await UpstreamServer.start(new MachineClock(), {
  upstream,
  slots: Number(slots),
  delayMs: Number(delayMs),
});
if (Number(operatorsPort) > 0) void server.announceTo(Number(operatorsPort));

const control = createServer((request, response) => {
  const state = EndpointState.safeParse((request.url ?? '').slice(1));
  if (state.success) server.state = state.data;
  response.end(JSON.stringify(Object.fromEntries(server.runs)));
});
const controlPort = await listen(control);
console.log(JSON.stringify({ port: server.port, controlPort }));
