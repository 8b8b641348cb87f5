/** Two plain proxies in a row, to measure the least that two HTTP hops cost on this machine. */
import { Program } from './processes.js';

const TIMEOUT_MS = 5_000;

export class PlainProxyChain implements AsyncDisposable {
  private constructor(
    private readonly first: Program,
    private readonly second: Program,
  ) {}

  static async start(upstreamPort: number): Promise<PlainProxyChain> {
    const hop = (port: number) =>
      Program.start('bench/plain_proxy_main', [String(port), String(TIMEOUT_MS)]);
    const second = await hop(upstreamPort);
    return new PlainProxyChain(await hop(second.ports.callerPort!), second);
  }

  /** Caller port of the first proxy. */
  get port(): number {
    return this.first.ports.callerPort!;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.first.kill();
    await this.second.kill();
  }
}
