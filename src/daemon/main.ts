/** Command line of the daemon: runs one instance until SIGTERM or SIGINT. */
import { once } from 'node:events';
import { cac } from 'cac';
import { type Codec, JsonCodec, MsgpackCodec } from '../link/codec.js';
import { DeflateCodec } from '../link/deflate_codec.js';
import { MAX_FRAME_BYTES } from '../link/tcp_link.js';
import { HttpPlatform } from '../platform/http_platform.js';
import { LineLog } from '../logs/log.js';
import { standardOutput } from '../logs/sink.js';
import { MachineClock } from '../runtime/clock.js';
import { MachineRandom } from '../runtime/random.js';
import { EXIT_OK, EXIT_SETTINGS } from './exit.js';
import { exitOnUncaughtException } from './uncaught_exception.js';
import { Instance } from './instance.js';
import { StopSignal } from './stop_signal.js';
import { FLAG_HELP, flagName, readSettings, type Settings, SettingsError } from './settings.js';

/** Resolves to the exit code: 0 after a requested stop or `--help`, 2 for invalid settings. */
export async function main(argv: string[], environment: NodeJS.ProcessEnv): Promise<number> {
  const command = cac('barleyhavend');
  for (const [setting, description] of Object.entries(FLAG_HELP)) {
    command.option(`--${flagName(setting)} <value>`, description);
  }
  command.help();
  const { options } = command.parse(argv, { run: false });
  if (options.help) return EXIT_OK;
  try {
    await serve(readSettings(options, environment));
    return EXIT_OK;
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return EXIT_SETTINGS;
  }
}

async function serve(settings: Settings): Promise<void> {
  const clock = new MachineClock();
  const stopSignal = new StopSignal(clock);
  const faultExit = exitOnUncaughtException(settings.instance);
  await using platform = new HttpPlatform(new URL(settings.platform), clock);
  const codec = codecFor(settings);
  const random = new MachineRandom();
  const log = new LineLog(settings.instance, settings.logLevel, standardOutput(), clock);
  faultExit.log = log;
  stopSignal.onRepeat = () => log.record('info', { event: 'stop-repeated' });
  const dependencies = { platform, clock, random, codec, log };
  await using instance = await Instance.start(settings, dependencies);
  faultExit.stop = (deadline) => instance.stopAfterFault(deadline);
  const { callerPort, operatorsPort } = instance;
  const { linkPort, guardPort } = instance.roster.self;
  const ports = { callerPort, guardPort, linkPort, operatorsPort };
  process.stdout.write(`${JSON.stringify({ event: 'listening', ...ports })}\n`);
  const interrupted = once(process, 'SIGINT').then(() => clock.now());
  const stoppedAt = await Promise.race([stopSignal.received, interrupted]);
  await instance.stop(stoppedAt + settings.stopMs);
}

function codecFor({ codec, profile }: Settings): Codec {
  const inner = codec === 'json' ? new JsonCodec() : new MsgpackCodec();
  return profile === 'bytes' ? new DeflateCodec(inner, MAX_FRAME_BYTES) : inner;
}
