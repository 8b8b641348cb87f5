/** A small deployment on loopback: the project's processes, started as the deploy file says. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
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
async function command() {
  const file = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "node (.*)"$/m.exec(file)[1].split(' ');
}

export class Record {
  startedAt = Date.now();

  #file;

  constructor(path) {
    this.#file = createWriteStream(path);
  }

  /** Writes a line with the seconds since the start. */
  line(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    this.#file.write(`${seconds} ${text}\n`);
  }

  /** Writes a line here and to standard output. */
  print(text) {
    this.line(text);
    process.stdout.write(`${text}\n`);
  }

  /** Resolves once all lines are written. */
  end() {
    return new Promise((resolve) => {
      this.#file.end(resolve);
    });
  }
}

/**
 * Runs a script: `play` resolves to 1 if the rule was broken and to 0 if it held; `end` ends what was
 * started, also when the script is told to stop. Exits with 2 if it could not run.
 */
export async function runScript(record, play, end) {
  let code = 2;
  const finish = async () => {
    await end();
    record.line(`exit ${code}`);
    await record.end();
    // eslint-disable-next-line n/no-process-exit -- sockets of consumers may be left open
    process.exit(code);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, finish);
  try {
    code = await play();
  } catch (error) {
    record.line(`could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  await finish();
}

/** Machine number `index` of a deployment, with an address that depends on this process. */
export function machineOf(index, zone, service) {
  const ip = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}.${index + 1}`;
  return { name: `sidecar-${zone}-${index + 1}`, ip, zone, service };
}

export class Fleet {
  #folder;

  #arguments;

  #programs = new Map();

  #isEnding = false;

  /** When the process of a machine was last started, by its name. */
  startedAt = new Map();

  /** `options`: `storePort`, `contracts`, `bounds`, `seeds` (control addresses). */
  constructor(machines, record, options) {
    this.machines = machines;
    this.record = record;
    this.options = options;
  }

  /** Starts the processes of these machines; each is started again whenever it ends. */
  async start(machines) {
    this.#folder ??= await mkdtemp(join(tmpdir(), 'review-'));
    this.#arguments ??= await command();
    for (const machine of machines) {
      await writeFile(this.#pathOf(machine), JSON.stringify(this.#settings(machine)));
    }
    for (const machine of machines) this.#launch(machine);
  }

  #pathOf({ name }) {
    return join(this.#folder, `${name}.json`);
  }

  #launch(machine) {
    const { PATH, HOME = tmpdir() } = process.env;
    const env = { PATH, HOME, LANG: 'C.UTF-8', BARLEYHAVEN_SETTINGS: this.#pathOf(machine) };
    const child = spawn(process.execPath, this.#arguments, { cwd: ROOT, env, stdio: 'ignore' });
    this.record.line(`process of ${machine.name} started (${child.pid})`);
    this.startedAt.set(machine.name, Date.now());
    this.#programs.set(machine.name, child);
    child.once('exit', (code, signal) => {
      this.record.line(`process of ${machine.name} ended (${code ?? signal})`);
      const again = () => {
        if (!this.#isEnding) this.#launch(machine);
      };
      setTimeout(again, RESTART_MS);
    });
  }

  signal(machine, signal) {
    this.record.line(`${signal} to ${machine.name}`);
    this.#programs.get(machine.name).kill(signal);
  }

  /** Resolves once all processes are ready; throws if they are not in time. */
  async untilReady(machines, ms) {
    const deadline = Date.now() + ms;
    for (const machine of machines) {
      while (!(await isReady(machine))) {
        if (Date.now() > deadline) throw new Error(`${machine.name} is not ready`);
        await sleep(50);
      }
    }
  }

  /** From when on all machines have run for `ms`, in milliseconds since the epoch. */
  runFor(ms) {
    return Math.max(...this.startedAt.values()) + ms;
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
    if (this.#folder) await rm(this.#folder, { recursive: true });
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
    const options = {
      host: ip,
      port: PORTS.ready,
      path: '/api/ready',
      agent: false,
      timeout: 1_000,
    };
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
export function call(
  { ip },
  { id, path, method = 'GET', headers = {}, body, timeoutMs = 2_500, agent = false },
) {
  return new Promise((resolve) => {
    const all = {
      host: HOST,
      'barleyhaven-request-id': id,
      'barleyhaven-timeout-ms': timeoutMs,
      ...headers,
    };
    const options = { host: ip, port: PORTS.outbound, path, method, headers: all, agent };
    const outgoing = send(options, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () =>
        finish({
          status: answer.statusCode,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString(),
        }),
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
