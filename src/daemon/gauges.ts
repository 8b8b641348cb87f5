/** A set of gauges in the Prometheus text format. */
import { Gauge, Registry } from 'prom-client';

export const PREFIX = 'barleyhaven_';

/** Values are read on each scrape; no copies are kept. */
export class Gauges {
  readonly #registry = new Registry();

  get contentType(): string {
    return this.#registry.contentType;
  }

  text(): Promise<string> {
    return this.#registry.metrics();
  }

  add(name: string, help: string, value: () => number): void {
    this.addLabelled(name, help, [], (gauge) => gauge.set(value()));
  }

  addLabelled(
    name: string,
    help: string,
    labelNames: string[],
    collect: (gauge: Gauge) => void,
  ): void {
    const gauge: Gauge = new Gauge({
      name: PREFIX + name,
      help,
      labelNames,
      registers: [this.#registry],
      collect: () => collect(gauge),
    });
  }
}
