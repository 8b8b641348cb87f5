// Stand-ins for the cases: the platform's store, upstream instances, callers, and machines on
// loopback addresses that run the project's program as the deploy file starts it.
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { sleep };

export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const PORT_COUNT = 5;
const INTERNAL_PORTS = 16;
const MAX_RUN_MS = 115_000;
const HEARTBEAT_MS = 1_500;
const READY_TIMEOUT_MS = 30_000;
const HOST_NAME = 'suppers.example';

/** Whether the disruption is to be caused. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run to `record.txt` beside the script. */
export class Recorder {
  #startedAt = performance.now();

  constructor(scriptUrl) {
    this.out = createWriteStream(join(dirname(fileURLToPath(scriptUrl)), 'record.txt'));
    this.note(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  }

  /** Milliseconds since the start of the script. */
  get now() {
    return performance.now() - this.#startedAt;
  }

  note(line) {
    this.out.write(`${(this.now / 1_000).toFixed(3).padStart(8)} ${line}\n`);
  }

  /** Writes a line to the record and to standard output. */
  say(line) {
    this.note(line);
    process.stdout.write(`${line}\n`);
  }

  async end() {
    this.out.end();
    await once(this.out, 'finish');
  }
}

/** Loopback addresses and free ports, the same ports for all machines. */
export class Network {
  static async pick(size) {
    for (;;) {
      const prefix = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
      const base = randomInt(10_000, 30_000);
      const network = new Network(prefix, base);
      if (await network.#isFree(size)) return network;
    }
  }

  constructor(prefix, base) {
    this.prefix = prefix;
    const [outbound, inbound, ready, control, upstream] = Array.from(
      { length: PORT_COUNT },
      (_, index) => base + index,
    );
    this.ports = { outbound, inbound, ready, control, upstream };
    this.internal = [base + PORT_COUNT, base + PORT_COUNT + INTERNAL_PORTS - 1];
  }

  host(index) {
    return `${this.prefix}.${index + 1}`;
  }

  async #isFree(size) {
    const ports = [...Object.values(this.ports), ...this.internal, this.internal[0] + 1];
    for (let index = 0; index < size; index += 1) {
      for (const port of ports) if (!(await canBind(this.host(index), port))) return false;
    }
    return true;
  }
}

function canBind(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function listen(server, host, port = 0) {
  server.listen(port, host);
  await once(server, 'listening');
  return server.address().port;
}

/**
 * The platform's store. Each machine gets an address of its own for it, so that the store can turn
 * single machines away.
 */
export class Store {
  /** Indexes of the machines that it turns away with 503. */
  turnedAway = new Set();

  /** Waiting watches: index of the machine and the response. */
  #watches = new Set();

  #objects = new Map();

  #history = [];

  #revision = 10;

  #servers = [];

  constructor(host) {
    this.host = host;
  }

  /** Listens for the calls of one machine; resolves to the address for its settings. */
  async listenFor(index) {
    const server = createServer((incoming, response) => {
      this.#serve(index, incoming, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    this.#servers.push(server);
    return `${this.host}:${await listen(server, this.host)}`;
  }

  /** Writes an object as the operator does; that it returns is the acknowledgement. */
  put(kind, name, spec) {
    const key = `${kind}/${name}`;
    const created = this.#objects.get(key)?.metadata.created ?? this.#revision + 1;
    const status = this.#objects.get(key)?.status ?? null;
    return this.#set(key, spec, status, created);
  }

  /** Indexes of the machines with a waiting watch. */
  get watchers() {
    return [...new Set([...this.#watches].map(({ index }) => index))];
  }

  /** Turns machines away from now on; their waiting watches are cut off. */
  turnAway(indexes) {
    this.turnedAway = new Set(indexes);
    for (const { index, response } of this.#watches) {
      if (this.turnedAway.has(index)) response.destroy();
    }
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #set(key, spec, status, created) {
    this.#revision += 1;
    const name = key.slice(key.indexOf('/') + 1);
    const metadata = { name, revision: this.#revision, created, finalizers: [], deleting: false };
    const object = { metadata, spec, status };
    this.#objects.set(key, object);
    this.#record(key, object, false);
    return object;
  }

  #record(key, object, deleted) {
    this.#history.push({ key, revision: this.#revision, event: { object, deleted } });
    for (const watch of [...this.#watches]) watch.wake();
  }

  async #serve(index, incoming, response) {
    const url = new URL(incoming.url, 'http://store');
    const body = await text(incoming);
    if (this.turnedAway.has(index)) {
      reply(response, 503, {});
      return;
    }
    const [, , , kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    if (incoming.method === 'GET' && url.searchParams.has('watch')) {
      await this.#watch(index, kind, url, response);
      return;
    }
    const { status, value } = this.#call(incoming.method, { kind, name, part, url, body });
    reply(response, status, value);
  }

  #call(method, { kind, name, part, url, body }) {
    if (method === 'GET' && name === undefined) return this.#list(kind, url);
    const sent = body === '' ? {} : JSON.parse(body);
    const key = `${kind}/${name ?? sent.metadata?.name}`;
    const held = this.#objects.get(key);
    if (method === 'POST') {
      if (held) return { status: 409, value: held };
      return { status: 200, value: this.#set(key, sent.spec, null, this.#revision + 1) };
    }
    if (!held) return { status: 404, value: {} };
    if (method === 'GET') return { status: 200, value: held };
    const asked = sent.metadata?.revision ?? url.searchParams.get('revision');
    const isStale =
      asked !== undefined && asked !== null && Number(asked) !== held.metadata.revision;
    if (isStale) return { status: 409, value: held };
    if (method === 'DELETE') {
      this.#revision += 1;
      this.#objects.delete(key);
      this.#record(key, held, true);
      return { status: 200, value: {} };
    }
    const isStatus = part === 'status';
    const spec = isStatus ? held.spec : sent.spec;
    const status = isStatus ? sent.status : held.status;
    if (JSON.stringify([spec, status]) === JSON.stringify([held.spec, held.status]))
      return { status: 200, value: held };
    return { status: 200, value: this.#set(key, spec, status, held.metadata.created) };
  }

  #list(kind, url) {
    const after = url.searchParams.get('after') ?? '';
    const items = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    return { status: 200, value: { items, hasMore: false, asOf: this.#revision } };
  }

  async #watch(index, kind, url, response) {
    const since = Number(url.searchParams.get('watch'));
    const until = performance.now() + Number(url.searchParams.get('waitMs'));
    const found = () =>
      this.#history.filter(({ key, revision }) => revision > since && key.startsWith(`${kind}/`));
    while (found().length === 0 && performance.now() < until && !response.destroyed) {
      await this.#nextChange(index, response, until - performance.now());
    }
    if (response.destroyed) return;
    reply(response, 200, { events: found().map(({ event }) => event), asOf: this.#revision });
  }

  async #nextChange(index, response, waitMs) {
    const waking = new AbortController();
    const watch = { index, response, wake: () => waking.abort() };
    this.#watches.add(watch);
    response.once('close', watch.wake);
    await sleep(waitMs, undefined, { signal: waking.signal }).catch(() => {});
    response.off('close', watch.wake);
    this.#watches.delete(watch);
  }
}

function reply(response, status, value) {
  if (response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** One machine: the project's process and the upstream instance beside it. */
export class Machine {
  /** The running process; undefined while there is none. */
  child;

  #sequence = 0;

  #heartbeats;

  constructor(fleet, index, { zone, service }) {
    this.fleet = fleet;
    this.index = index;
    this.name = `sidecar-${zone}-${index + 1}`;
    this.zone = zone;
    this.service = service;
    this.host = fleet.network.host(index);
  }

  address(port) {
    return `${this.host}:${this.fleet.network.ports[port]}`;
  }

  /** Starts the upstream instance as a new incarnation; `conduct` answers a request that it has begun to run. */
  async startUpstream(conduct) {
    const { recorder, network } = this.fleet;
    this.id = `i-${randomInt(0x10000000, 0xffffffff).toString(16)}`;
    this.born = Date.now();
    this.#sequence = 0;
    this.upstream = createServer((incoming, response) => {
      this.#serve(incoming, response, conduct).catch((error) => recorder.note(String(error)));
    });
    this.upstream.keepAliveTimeout = 60_000;
    await listen(this.upstream, this.host, network.ports.upstream);
    void this.#report();
    this.#heartbeats = setInterval(() => void this.#report(), HEARTBEAT_MS);
  }

  async #serve(incoming, response, conduct) {
    if (incoming.url === '/healthz') {
      response.writeHead(200, { 'content-length': 0, ...this.#headers(incoming) });
      response.end();
      return;
    }
    const id = incoming.headers['barleyhaven-request-id'];
    if (incoming.headers['barleyhaven-target-instance'] !== this.id) {
      incoming.resume();
      response.writeHead(421, { 'content-length': 0, ...this.#headers(incoming) });
      response.end();
      return;
    }
    this.fleet.recorder.note(`run      ${id} by ${this.service} on ${this.name}`);
    this.fleet.runs.push({ id, service: this.service, machine: this.name });
    await conduct(incoming, response, this.#headers(incoming), this);
  }

  #headers(incoming) {
    return {
      'barleyhaven-request-id': incoming.headers['barleyhaven-request-id'] ?? '',
      'barleyhaven-response-signature': `sig-${this.id}`,
      'barleyhaven-instance-id': this.id,
      'barleyhaven-server-load': '1,0,18',
    };
  }

  /** Sends a status report to the process beside it. */
  #report() {
    this.#sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: this.address('upstream'),
      zone: this.zone,
      version: 'v1',
      slots: 18,
      state: 'ready',
      coldRemaining: '0ms',
      sequence: this.#sequence,
      born: this.born,
    });
    const path = `/api/rpc?call=instances.heartbeat&of=${this.id}`;
    const port = this.fleet.network.ports.control;
    const headers = { 'content-type': 'application/json' };
    return send({ host: this.host, port, method: 'POST', path, headers, body, timeoutMs: 1_000 });
  }

  async startProcess() {
    const { fleet } = this;
    const path = join(fleet.folder, `${this.name}.json`);
    await writeFile(path, JSON.stringify(fleet.settingsOf(this)));
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(process.execPath, fleet.nodeArguments, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BARLEYHAVEN_SETTINGS: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { child } = this;
    fleet.children.add(child);
    child.stdout.on('data', (lines) => fleet.logs.write(lines));
    child.stderr.on('data', (lines) => fleet.logs.write(lines));
    child.once('exit', (code, signal) => {
      fleet.children.delete(child);
      if (this.child === child) this.child = undefined;
      fleet.recorder.note(`process  ${this.name} ended: ${signal ?? code}`);
    });
    fleet.recorder.note(`process  ${this.name} started`);
    return child;
  }

  /** Whether the process answers the readiness check with 200. */
  async isReady() {
    const port = this.fleet.network.ports.ready;
    const answer = await send({ host: this.host, port, path: '/api/ready', timeoutMs: 1_000 });
    return answer.status === 200;
  }

  /** Sends a request as a caller on this machine; never rejects. */
  async call(id, how = {}) {
    const { recorder, network } = this.fleet;
    const { path = '/', method = 'GET', timeoutMs = 2_500, headers = {}, ...rest } = how;
    recorder.note(`sent     ${id} ${method} ${path} to ${this.name}`);
    const answer = await send({
      host: this.host,
      port: network.ports.outbound,
      method,
      path,
      headers: {
        host: HOST_NAME,
        'barleyhaven-request-id': id,
        'barleyhaven-timeout-ms': String(timeoutMs),
        ...headers,
      },
      timeoutMs,
      ...rest,
    });
    const ran = answer.headers?.['barleyhaven-instance-id'] ?? '';
    recorder.note(`answered ${id} ${answer.status ?? answer.error} ${ran} ${answer.tookMs} ms`);
    return answer;
  }

  stopUpstream() {
    clearInterval(this.#heartbeats);
    this.upstream?.close();
    this.upstream?.closeAllConnections();
  }
}

/** A request over a new connection; resolves also if it fails. */
export function send({ host, port, method = 'GET', path, headers = {}, body, timeoutMs }) {
  const startedAt = performance.now();
  const tookMs = () => Math.round(performance.now() - startedAt);
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent: false });
    const fail = (error) => {
      clearTimeout(timer);
      outgoing.destroy();
      resolve({ error: error.code ?? error.message, tookMs: tookMs() });
    };
    const timer = setTimeout(() => fail(new Error('given up')), timeoutMs);
    outgoing.on('error', fail);
    outgoing.on('response', (answer) => {
      text(answer).then((content) => {
        clearTimeout(timer);
        const { statusCode: status, headers: received } = answer;
        resolve({ status, headers: received, body: content, tookMs: tookMs() });
      }, fail);
    });
    outgoing.end(body);
  });
}

export class Fleet {
  children = new Set();

  machines = [];

  /** What upstream instances began to run, in order. */
  runs = [];

  /** `plan` has a zone and a service for each machine. */
  static async create(recorder, plan) {
    const fleet = new Fleet();
    fleet.recorder = recorder;
    fleet.network = await Network.pick(plan.length);
    fleet.folder = await mkdtemp(join(tmpdir(), 'review-'));
    fleet.logs = createWriteStream(join(fleet.folder, 'log'));
    fleet.nodeArguments = await readNodeArguments();
    fleet.store = new Store(fleet.network.host(200));
    fleet.machines = plan.map((each, index) => new Machine(fleet, index, each));
    fleet.storeAddresses = await Promise.all(plan.map((_, index) => fleet.store.listenFor(index)));
    return fleet;
  }

  settingsOf(machine) {
    const { network, machines, storeAddresses } = this;
    const regions = Object.fromEntries(machines.map(({ zone }) => [zone, 'north']));
    return {
      nodeName: machine.name,
      role: 'sidecar',
      machineClass: 'sidecar',
      serves: ['sidecar', 'control'],
      ip: machine.host,
      zone: machine.zone,
      region: 'north',
      zones: regions,
      listen: {
        inbound: machine.address('inbound'),
        outbound: machine.address('outbound'),
        ready: machine.address('ready'),
        control: machine.address('control'),
      },
      internalPortRange: network.internal,
      seeds: machines.slice(0, 3).map((seed) => seed.address('control')),
      bootstrap: true,
      limits: { cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4_100, linkMbps: 1_000 },
      heartbeat: `${HEARTBEAT_MS}ms`,
      contracts: this.contracts ?? [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'platform',
      ],
      faultTolerance: { machines: 2, zones: 1, regions: 0 },
      bounds: {
        stableWindow: '3000ms',
        ack: '4000ms',
        drain: '2000ms',
        grace: '6s',
        configApply: '2000ms',
        outer: '5000ms',
        retryBudgetRatio: 0.2,
        budgetWindow: '10s',
        budgetSlack: 58,
        recovery: '15s',
      },
      appAddr: machine.address('upstream'),
      service: machine.service,
      platform: {
        address: storeAddresses[machine.index],
        form: 'objects',
        writesPerS: 400,
        readsPerS: 2_000,
        history: '20s',
        valueBytes: 1_048_576,
        ttlMin: '1000ms',
      },
    };
  }

  /** Starts all processes at once; resolves once all of them are ready. */
  async start(conduct) {
    await Promise.all(this.machines.map((machine) => machine.startUpstream(conduct)));
    await Promise.all(this.machines.map((machine) => machine.startProcess()));
    await Promise.all(this.machines.map((machine) => this.waitUntilReady(machine)));
  }

  async waitUntilReady(machine) {
    const until = performance.now() + READY_TIMEOUT_MS;
    while (!(await machine.isReady())) {
      if (performance.now() > until) throw new Error(`${machine.name} does not become ready`);
      await sleep(50);
    }
  }

  async stop() {
    const ended = [...this.children].map((child) => once(child, 'exit'));
    for (const child of this.children) child.kill('SIGKILL');
    await Promise.all(ended);
    for (const machine of this.machines) machine.stopUpstream();
    this.store.close();
    this.logs.end();
    await rm(this.folder, { recursive: true, force: true });
  }
}

async function readNodeArguments() {
  const file = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "node (.*)"$/m.exec(file);
  return run.split(' ');
}

/** A request for a route of the configuration, as the operator writes it. */
export function route(pathPrefix, service, more = {}) {
  return {
    host: HOST_NAME,
    pathPrefix,
    kind: 'safe',
    timeout: '1200ms',
    targetLatency: '600ms',
    priority: 2,
    maxAttempts: 2,
    service,
    ...more,
  };
}

export function configuration(number, routes, serviceNames, more = {}) {
  const service = { healthPath: '/healthz', maxConnections: 110, protocol: 'h1', tls: false };
  return {
    version: `r${number}`,
    routes,
    services: Object.fromEntries(serviceNames.map((name) => [name, service])),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
    ...more,
  };
}

/** Runs a case, ends all that it started, and exits with its result. */
export async function runCase(scriptUrl, plan, play) {
  const recorder = new Recorder(scriptUrl);
  let fleet;
  let result = COULD_NOT_RUN;
  const abort = () => {
    for (const child of fleet?.children ?? []) child.kill('SIGKILL');
    // eslint-disable-next-line n/no-process-exit -- the case hangs or is told to end
    process.exit(COULD_NOT_RUN);
  };
  const timer = setTimeout(abort, MAX_RUN_MS);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, abort);
  try {
    fleet = await Fleet.create(recorder, plan);
    result = await play(fleet, recorder);
  } catch (error) {
    recorder.say(`could not run: ${error.stack ?? error}`);
  }
  await fleet?.stop();
  clearTimeout(timer);
  recorder.say(['the rule held', 'the rule was broken', 'the case could not run'][result]);
  await recorder.end();
  // eslint-disable-next-line n/no-process-exit -- stand-ins may have open channels
  process.exit(result);
}
