/** Disposes of resources in reverse order, like `AsyncDisposableStack`, which Node 20 lacks. */
export class ResourceStack implements AsyncDisposable {
  readonly #resources: AsyncDisposable[] = [];

  use<T extends AsyncDisposable>(resource: T): T {
    this.#resources.push(resource);
    return resource;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.#resources.reverse()) await resource[Symbol.asyncDispose]();
  }
}
