/** Release notes for the experiments. */
import { ReleaseNote, type ReleaseNoteInput } from '../contracts.js';

const ROUTES_PER_SERVICE = 2;

/** Adds an upstream, a limit and routes for every service. */
export function initialNote(services: number): ReleaseNote {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`);
  return ReleaseNote.parse({
    id: 'opening',
    author: 'bench',
    add: {
      upstreams: names.map((name) => ({ name, about: `back end of ${name}` })),
      limits: names.map((name) => ({ name, slots: 20 })),
      rules: [{ name: 'bounded', everywhere: true, maxTimeoutMs: 60_000 }],
      routes: names.flatMap((name) =>
        Array.from({ length: ROUTES_PER_SERVICE }, (_, index) => routeTo(name, index, 5_000)),
      ),
    },
  } satisfies ReleaseNoteInput);
}

/** Changes the time-out of one route of one service. */
export function changeNote(turn: number, services: number): ReleaseNote {
  const name = `service-${turn % services}`;
  return ReleaseNote.parse({
    id: `change-${turn}`,
    author: 'bench',
    change: { routes: [routeTo(name, 0, 1_000 + turn)] },
  } satisfies ReleaseNoteInput);
}

function routeTo(service: string, index: number, timeoutMs: number) {
  return {
    name: `${service}-${index}`,
    pathPrefix: `/${service}/${index}`,
    upstream: service,
    limit: service,
    rules: ['bounded'],
    timeoutMs,
  };
}
