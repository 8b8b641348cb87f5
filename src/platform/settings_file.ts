/** Reads the settings file of the platform, whose writer may be in the middle of it. */
import { type Clock } from '../runtime/clock.js';
import { type HostFile, readHostFile } from './host_settings.js';

/** How long a file that is missing or cannot be read may take until it can, in milliseconds. */
const SETTLE_MS = 1_000;
const RETRY_INTERVAL_MS = 50;

/**
 * @example
 * ```ts
 * const settingsFile = new SettingsFile(path, clock);
 * const file = await settingsFile.read();
 * ```
 */
export class SettingsFile {
  constructor(
    readonly path: string,
    private readonly clock: Clock,
  ) {}

  /**
   * Resolves to the content. A file that is written in place is empty or cut off for a moment, so it is read
   * again for a while; a process that ended at once would be missed by its callers until the platform
   * starts it again. Throws `SettingsError` if the file stays unreadable or invalid.
   */
  async read(): Promise<HostFile> {
    const deadline = this.clock.now() + SETTLE_MS;
    while (true) {
      try {
        return await readHostFile(this.path);
      } catch (error) {
        if (this.clock.now() >= deadline) throw error;
      }
      await this.clock.sleepUntil(this.clock.now() + RETRY_INTERVAL_MS);
    }
  }
}
