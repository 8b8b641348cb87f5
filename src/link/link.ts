/** A connection between two processes that delivers messages in order until it is closed. */
export abstract class Link implements AsyncDisposable {
  /** Aborts when either side closes the link or the link fails. */
  abstract readonly closed: AbortSignal;

  /** Bytes sent over the link, including framing. */
  abstract readonly bytesSent: number;

  /** Bytes received over the link, including framing. */
  abstract readonly bytesReceived: number;

  /**
   * Queues a message for sending; on a closed link it is dropped. Throws an `OutcomeError` with
   * verdict `not-run` if it is too large.
   */
  abstract send(message: unknown): void;

  /** Sets the only receiver, which also gets the messages that arrived before. */
  abstract receive(receiver: (message: unknown) => void): void;

  abstract close(): void;

  async [Symbol.asyncDispose](): Promise<void> {
    this.close();
  }
}
