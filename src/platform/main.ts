/** Runs one process of the system on the operators' platform. */
import { watchFile } from 'node:fs';
import PQueue from 'p-queue';
import { bind } from '../daemon/bind.js';
import { exitOnUncaughtException } from '../daemon/uncaught_exception.js';
import { Instance } from '../daemon/instance.js';
import { type Signals } from '../daemon/signals.js';
import { LineLog } from '../logs/log.js';
import { standardOutput } from '../logs/sink.js';
import { MsgpackCodec } from '../link/codec.js';
import { LongMessageCodec } from '../link/long_message_codec.js';
import { MAX_FRAME_BYTES } from '../link/tcp_link.js';
import { PROMPT } from '../membership/pace.js';
import { MachineClock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { MachineRandom } from '../runtime/random.js';
import { createReportServer } from './endpoint_reports.js';
import { type HostFile, hasRollouts, seedsOf, settingsOf } from './host_settings.js';
import { HttpPlatform } from './http_platform.js';
import { MeshDialect } from './mesh_dialect.js';
import { ObjectFeed } from './object_feed.js';
import { ObjectOrders } from './object_orders.js';
import { createReadinessServer } from './readiness_port.js';
import { SettingsFile } from './settings_file.js';

/** Environment variable with the path of the settings file. */
const SETTINGS_VARIABLE = 'BARLEYHAVEN_SETTINGS';
/** Interval of checks of the settings file, which may change without a signal, in ms. */
const SETTINGS_POLL_MS = 2_000;

/** How long a stopping process waits for its neighbours to learn that it leaves, in ms. */
const LEAVE_TIMEOUT_MS = 100;

/** Serves until the process is told to stop. `cacheMissReason`: why no code cache is used. */
export async function main(
  environment: NodeJS.ProcessEnv,
  signals: Signals,
  cacheMissReason?: string,
): Promise<void> {
  const clock = new MachineClock();
  const settingsFile = new SettingsFile(environment[SETTINGS_VARIABLE] ?? '', clock);
  let file = await settingsFile.read();
  const settings = settingsOf(file);
  const faultExit = exitOnUncaughtException(settings.instance);
  const platform = new HttpPlatform(new URL(settings.platform), clock);
  const log = new LineLog(settings.instance, settings.logLevel, standardOutput(), clock);
  faultExit.log = log;
  if (cacheMissReason !== undefined)
    log.record('warn', { event: 'uncompiled', reason: cacheMissReason });
  const instance = await Instance.start(settings, {
    platform,
    clock,
    random: new MachineRandom(),
    codec: new LongMessageCodec(new MsgpackCodec(), MAX_FRAME_BYTES),
    dialect: new MeshDialect(() => file.service),
    feed: (replica) => new ObjectFeed(platform, replica, clock),
    ...(hasRollouts(file) && { orders: new ObjectOrders(platform) }),
    pace: PROMPT,
    log,
  });
  faultExit.stop = (deadline) => instance.stopAfterFault(deadline);
  await startServers(file, instance);
  const reload = async () => {
    try {
      file = await settingsFile.read();
      instance.control.peers = seedsOf(file);
      log.record('info', { event: 'reloaded' });
    } catch (error) {
      log.record('warn', { event: 'reload-failed', message: String(error) });
    }
  };
  // One at a time, so that the last one puts in force what was read last; one that waits reads all
  // changes until then.
  const reloads = new PQueue({ concurrency: 1 });
  const onChange = () => {
    if (reloads.size === 0) runInBackground('reload', reloads.add(reload));
  };
  signals.listen(({ at, ...signal }) => {
    log.record('info', { event: 'signal', ...signal }, at);
    if (signal.action === 'reload') onChange();
  });
  watchFile(settingsFile.path, { interval: SETTINGS_POLL_MS, persistent: false }, onChange);
  const stopAt = await signals.stopRequested;
  await instance.stop(stopAt + settings.stopMs);
  // Open connections end with the process; only the neighbours have to be notified.
  const leaving = instance.control.leave();
  await Promise.race([leaving, clock.sleepUntil(clock.now() + LEAVE_TIMEOUT_MS)]);
}

async function startServers({ listen, service }: HostFile, instance: Instance): Promise<void> {
  if (listen.control) {
    const { control } = instance;
    const reports = createReportServer(() => service, {
      take: (announcement) => control.endpointLease.renew(announcement),
      depart: (run) => control.endpointLease.depart(run),
      kept: () => control.endpointReplicated(),
    });
    await bind(reports, listen.control.host, listen.control.port);
  }
  const ready = createReadinessServer(() => instance.isReady);
  await bind(ready, listen.ready.host, listen.ready.port);
}
