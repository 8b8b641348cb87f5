/** A connection between two processes that carries messages in order, until it closes. */
export abstract class Link implements AsyncDisposable {
  /** Aborts when the link is closed by either side or has failed. */
  abstract readonly closed: AbortSignal;

  /** Bytes that went over the link, framing included. */
  abstract readonly bytesSent: number;

  abstract readonly bytesReceived: number;

  /**
   * Hands a message over for sending. A message on a closed link is dropped. Throws with verdict
   * `not-run` if it is too large.
   */
  abstract send(message: unknown): void;

  /** Sets the one receiver. Messages that came before are kept for it. */
  abstract receive(receiver: (message: unknown) => void): void;

  abstract close(): void;

  async [Symbol.asyncDispose](): Promise<void> {
    this.close();
  }
}
