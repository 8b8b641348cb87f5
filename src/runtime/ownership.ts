/**
 * Owns resources and disposes of them in reverse order. Node 20 has no `AsyncDisposableStack`.
 */
export class Ownership implements AsyncDisposable {
  readonly #owned: AsyncDisposable[] = [];

  use<T extends AsyncDisposable>(resource: T): T {
    this.#owned.push(resource);
    return resource;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.#owned.reverse()) await resource[Symbol.asyncDispose]();
  }
}
