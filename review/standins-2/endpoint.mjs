/** Stand-in of an application endpoint beside a node, as PROTOCOL.md describes it. */
import { createHash, randomBytes } from 'node:crypto';
import { createServer, request as send } from 'node:http';
import { HEALTH_PATH, PORTS } from './fleet.mjs';

const BEAT_MS = 1_500;
const ACK_MS = 1_000;

export class Endpoint {
  id = `i-${randomBytes(4).toString('hex')}`;

  born = Date.now();

  sequence = 0;

  state = 'ready';

  running = 0;

  /** Requests that it has begun to work on: `{ id, method, url, headers, body, at }`. */
  runs = [];

  #server;

  #timer;

  /**
   * `options`: `workMs`, `slots`, `version`; `record(text)` writes to the record.
   */
  constructor(machine, options) {
    this.machine = machine;
    this.options = { workMs: 20, slots: 18, version: 'v1', record: () => {}, ...options };
  }

  async start({ beats = true } = {}) {
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 10_000;
    await new Promise((resolve) => {
      this.#server.listen(PORTS.app, this.machine.ip, resolve);
    });
    if (beats) this.startBeats();
  }

  startBeats() {
    const beat = () => {
      this.beat().catch(() => {});
      this.#timer = setTimeout(beat, BEAT_MS);
    };
    beat();
  }

  stopBeats() {
    clearTimeout(this.#timer);
  }

  async stop() {
    this.stopBeats();
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  /** The body of a status report that is sent now. */
  report() {
    this.sequence += 1;
    return {
      service: this.machine.service,
      address: `${this.machine.ip}:${PORTS.app}`,
      zone: this.machine.zone,
      version: this.options.version,
      slots: this.options.slots,
      state: this.state,
      coldRemaining: '0ms',
      sequence: this.sequence,
      born: this.born,
    };
  }

  /** Resolves to whether the report was acknowledged. */
  beat(report = this.report()) {
    return this.#call('instances.heartbeat', report);
  }

  leave() {
    return this.#call('instances.deregister', { born: this.born });
  }

  #call(call, body) {
    const path = `/api/rpc?call=${call}&of=${this.id}`;
    const options = { host: this.machine.ip, port: PORTS.control, method: 'POST', path };
    const headers = { 'content-type': 'application/json' };
    return new Promise((resolve) => {
      const outgoing = send({ ...options, headers, agent: false, timeout: ACK_MS }, (answer) => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode === 200));
        answer.on('error', () => resolve(false));
      });
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(false));
      outgoing.end(JSON.stringify(body));
    });
  }

  #serve(request, response) {
    const { headers, method, url } = request;
    const id = headers['barleyhaven-request-id'];
    const load = () => `${this.running},0,${this.options.slots}`;
    const common = { 'barleyhaven-server-load': load(), 'barleyhaven-instance-id': this.id };
    const chunks = [];
    request.on('error', () => {});
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const finish = (status, more, body) => {
        if (response.destroyed) return;
        const all = { ...common, ...more, 'barleyhaven-server-load': load() };
        response.writeHead(status, { ...all, 'content-length': Buffer.byteLength(body) });
        response.end(body);
      };
      if (url === HEALTH_PATH) {
        finish(this.state === 'ready' ? 200 : 503, {}, '');
        return;
      }
      const echo = { 'barleyhaven-request-id': id ?? '' };
      const target = headers['barleyhaven-target-instance'];
      const refused = { ...echo, 'barleyhaven-not-executed': '1' };
      if (target !== undefined && target !== this.id) finish(421, refused, '');
      else if (id === undefined) finish(400, { 'barleyhaven-not-executed': '1' }, '');
      else if (this.running >= this.options.slots) finish(503, refused, '');
      else this.#run({ id, method, url, headers, body: Buffer.concat(chunks) }, response, finish);
    });
  }

  #run(run, response, finish) {
    this.running += 1;
    this.runs.push({ ...run, at: Date.now(), state: this.state });
    const { id, url } = run;
    this.options.record(`run ${id} ${url} at ${this.machine.name} (${this.id}, ${this.state})`);
    const timer = setTimeout(() => {
      end();
      const body = `${this.id} ${id} ${url}`;
      const signature = createHash('sha256').update(body).digest('hex').slice(0, 16);
      finish(
        200,
        { 'barleyhaven-request-id': id, 'barleyhaven-response-signature': signature },
        body,
      );
    }, this.options.workMs);
    const end = () => {
      clearTimeout(timer);
      response.off('close', end);
      this.running -= 1;
    };
    response.once('close', end);
  }
}
