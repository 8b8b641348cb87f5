/** Where readers get the accepted versions from. */
export abstract class Feed {
  /**
   * Brings the replica to what was accepted at some time after this call. Resolves to false if a
   * version was refused on the way; rejects if the source is out of reach until `deadline`.
   */
  abstract catchUp(deadline: number): Promise<boolean>;

  /** Waits until `deadline` for what follows, and puts it in force; resolves like `catchUp`. */
  abstract follow(deadline: number, signal: AbortSignal): Promise<boolean>;
}
