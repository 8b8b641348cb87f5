/** Two plain proxies in a row: what two hops over HTTP cost on this machine at the least. */
import { Program } from './processes.js';

const TIMEOUT_MS = 5_000;

export class PlainHops implements AsyncDisposable {
  private constructor(
    private readonly first: Program,
    private readonly second: Program,
  ) {}

  static async start(upstreamPort: number): Promise<PlainHops> {
    const hop = (port: number) =>
      Program.start('bench/plain_proxy_main', [String(port), String(TIMEOUT_MS)]);
    const second = await hop(upstreamPort);
    return new PlainHops(await hop(second.ports.callerPort!), second);
  }

  /** Where callers reach the first of the two. */
  get port(): number {
    return this.first.ports.callerPort!;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.first.kill();
    await this.second.kill();
  }
}
