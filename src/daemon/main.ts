/** Command line of the daemon: runs one instance until it is asked to stop. */
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
import { type Signals } from './signals.js';
import { FLAG_HELP, flagName, readSettings, type Settings, SettingsError } from './settings.js';

/** Resolves to the exit code: 0 after a requested stop or `--help`, 2 for invalid settings. */
export async function main(
  argv: string[],
  environment: NodeJS.ProcessEnv,
  signals: Signals,
): Promise<number> {
  const command = cac('barleyhavend');
  for (const [setting, description] of Object.entries(FLAG_HELP)) {
    command.option(`--${flagName(setting)} <value>`, description);
  }
  command.help();
  const { options } = command.parse(argv, { run: false });
  if (options.help) return EXIT_OK;
  try {
    await serve(readSettings(options, environment), signals);
    return EXIT_OK;
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return EXIT_SETTINGS;
  }
}

async function serve(settings: Settings, signals: Signals): Promise<void> {
  const clock = new MachineClock();
  const faultExit = exitOnUncaughtException(settings.instance);
  await using platform = new HttpPlatform(new URL(settings.platform), clock);
  const codec = codecFor(settings);
  const random = new MachineRandom();
  const log = new LineLog(settings.instance, settings.logLevel, standardOutput(), clock);
  faultExit.log = log;
  // Settings come from flags and the environment: there is nothing to reload.
  signals.listen(({ at, ...signal }) => log.record('info', { event: 'signal', ...signal }, at));
  const dependencies = { platform, clock, random, codec, log };
  await using instance = await Instance.start(settings, dependencies);
  faultExit.stop = (deadline) => instance.stopAfterFault(deadline);
  const { callerPort, operatorsPort } = instance;
  const { linkPort, guardPort } = instance.roster.self;
  const ports = { callerPort, guardPort, linkPort, operatorsPort };
  process.stdout.write(`${JSON.stringify({ event: 'listening', ...ports })}\n`);
  const stopAt = await signals.stopRequested;
  await instance.stop(stopAt + settings.stopMs);
}

function codecFor({ codec, profile }: Settings): Codec {
  const inner = codec === 'json' ? new JsonCodec() : new MsgpackCodec();
  return profile === 'bytes' ? new DeflateCodec(inner, MAX_FRAME_BYTES) : inner;
}
