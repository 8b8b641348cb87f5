/** A small deployment on loopback: the project's processes, started as the deploy file says. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as send } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const PORTS = { inbound: 8624, outbound: 8629, ready: 8625, control: 8620, app: 8628 };
export const HEALTH_PATH = '/healthz';
export const HOST = 'jepu9.example';
const ROOT = fileURLToPath(new URL('../../', import.meta.url));
/** How long after its end the platform starts a process again. */
const RESTART_MS = 1_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** `node` and its arguments in the deploy file. */
function command() {
  const file = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "node (.*)"$/m.exec(file)[1].split(' ');
}

export class Record {
  startedAt = Date.now();

  constructor(path) {
    this.path = path;
    writeFileSync(path, '');
  }

  /** Writes a line with the seconds since the start. */
  line(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.path, `${seconds} ${text}\n`);
  }
}

/** Machine number `index` of a deployment, with an address that depends on this process. */
export function machineOf(index, zone, service) {
  const ip = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}.${index + 1}`;
  return { name: `sidecar-${zone}-${index + 1}`, ip, zone, service };
}

export class Fleet {
  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  #programs = new Map();

  #isEnding = false;

  /** `options`: `storePort`, `contracts`, `bounds`, `seeds` (control addresses). */
  constructor(machines, record, options) {
    this.machines = machines;
    this.record = record;
    this.options = options;
  }

  /** Starts the process of a machine; it is started again whenever it ends. */
  start(machine) {
    const path = join(this.#folder, `${machine.name}.json`);
    writeFileSync(path, JSON.stringify(this.#settings(machine)));
    const { PATH, HOME = '/tmp' } = process.env;
    const env = { PATH, HOME, LANG: 'C.UTF-8', BARLEYHAVEN_SETTINGS: path };
    const log = this.options.log ? ['ignore', 'pipe', 'pipe'] : 'ignore';
    const child = spawn(process.execPath, command(), { cwd: ROOT, env, stdio: log });
    if (this.options.log) {
      const write = (data) => appendFileSync(this.options.log, `${machine.name} ${data}`);
      child.stdout.on('data', write);
      child.stderr.on('data', write);
    }
    this.record.line(`process of ${machine.name} started (${child.pid})`);
    this.#programs.set(machine.name, child);
    child.once('exit', (code, signal) => {
      this.record.line(`process of ${machine.name} ended (${code ?? signal})`);
      if (this.#isEnding) return;
      const again = () => this.#isEnding || this.start(machine);
      setTimeout(again, this.options.restartMs ?? RESTART_MS);
    });
  }

  signal(machine, signal) {
    this.record.line(`${signal} to ${machine.name}`);
    this.#programs.get(machine.name).kill(signal);
  }

  /** Resolves to whether all processes are ready before the deadline. */
  async untilReady(machines, ms) {
    const deadline = Date.now() + ms;
    for (const machine of machines) {
      while (!(await isReady(machine))) {
        if (Date.now() > deadline) return false;
        await sleep(50);
      }
    }
    return true;
  }

  /** Ends all processes and removes the folder. */
  async end() {
    this.#isEnding = true;
    const ends = [...this.#programs.values()].map((child) => {
      if (child.exitCode !== null || child.signalCode !== null) return undefined;
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      return ended;
    });
    await Promise.all(ends);
    rmSync(this.#folder, { recursive: true });
  }

  #settings({ name, ip, zone, service }) {
    const { storePort, contracts, bounds, seeds } = this.options;
    const at = (port) => `${ip}:${port}`;
    const zones = Object.fromEntries(this.machines.map((machine) => [machine.zone, 'region']));
    return {
      nodeName: name,
      role: 'sidecar',
      machineClass: 'sidecar',
      serves: ['sidecar', 'control'],
      ip,
      zone,
      region: 'region',
      zones,
      listen: {
        inbound: at(PORTS.inbound),
        outbound: at(PORTS.outbound),
        ready: at(PORTS.ready),
        control: at(PORTS.control),
      },
      internalPortRange: [7600, 7615],
      seeds,
      bootstrap: false,
      countsAsLoss: false,
      limits: { cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      discovery: 'static',
      entry: 'static',
      heartbeat: '1500ms',
      contracts,
      faultTolerance: { machines: 2, zones: 1, regions: 0 },
      bounds,
      appAddr: at(PORTS.app),
      service,
      platform: {
        address: `127.0.0.1:${storePort}`,
        form: 'objects',
        writesPerS: 400,
        readsPerS: 2000,
        history: '20s',
        valueBytes: 1_048_576,
        ttlMin: '1000ms',
      },
    };
  }
}

/** Whether the platform's readiness check of a machine is answered with 200. */
export function isReady({ ip }) {
  return new Promise((resolve) => {
    const options = { host: ip, port: PORTS.ready, path: '/api/ready', agent: false, timeout: 1_000 };
    const outgoing = send(options, (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode === 200));
      answer.on('error', () => resolve(false));
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(false));
    outgoing.end();
  });
}

/** Sends a consumer's request to the node of a machine; resolves to the status, or 0 without a whole answer. */
export function call({ ip }, { id, path, method = 'GET', headers = {}, body, timeoutMs = 2_500, agent = false }) {
  return new Promise((resolve) => {
    const all = { host: HOST, 'barleyhaven-request-id': id, 'barleyhaven-timeout-ms': timeoutMs, ...headers };
    const options = { host: ip, port: PORTS.outbound, path, method, headers: all, agent };
    const outgoing = send(options, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () =>
        finish({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks).toString() }),
      );
      answer.on('error', () => finish({ status: 0 }));
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on('error', () => finish({ status: 0 }));
    outgoing.end(body);
  });
}
