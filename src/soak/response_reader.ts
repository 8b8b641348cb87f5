/** Reads whole HTTP responses from the text of a connection. */

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

export class ResponseReader {
  /** Called for each whole response. */
  onResponse: () => void = () => {};

  #text = '';

  #statuses: number[] = [];

  push(chunk: string): void {
    this.#text += chunk;
    for (let end = this.#responseEnd(); end !== undefined; end = this.#responseEnd()) {
      this.#statuses.push(Number(this.#text.slice('HTTP/1.1 '.length).slice(0, 3)));
      this.#text = this.#text.slice(end);
      this.onResponse();
      this.#waiting();
    }
  }

  /** Resolves once that many whole responses have arrived since the statuses were taken. */
  async received(count: number): Promise<void> {
    while (this.#statuses.length < count) {
      await new Promise<void>((resolve) => {
        this.#waiting = resolve;
      });
    }
  }

  /** The statuses of the whole responses since the last call. */
  takeStatuses(): number[] {
    return this.#statuses.splice(0);
  }

  #waiting: () => void = () => {};

  /** Position after the first response; undefined if it is incomplete. */
  #responseEnd(): number | undefined {
    const headEnd = this.#text.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const bodyStart = headEnd + HEAD_END.length;
    const head = this.#text.slice(0, bodyStart).toLowerCase();
    const [, length] = /\r\ncontent-length: *(\d+)/.exec(head) ?? [];
    const end = length === undefined ? this.#chunksEnd(bodyStart) : bodyStart + Number(length);
    return end <= this.#text.length ? end : undefined;
  }

  /** No body of the stand-ins contains the text of a last chunk. */
  #chunksEnd(bodyStart: number): number {
    const at = this.#text.indexOf(LAST_CHUNK, bodyStart);
    return at < 0 ? Infinity : at + LAST_CHUNK.length;
  }
}
