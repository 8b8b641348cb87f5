/** A test path whose configuration has teams, and a record of what reaches the endpoint. */
import { type IncomingMessage } from 'node:http';
import { Resource, type Team } from '../../contracts.js';
import { keyDigest } from '../../teams/key_digest.js';
import { TestPath } from '../requests/test_path.js';

/** Resources with which the path `/open` needs no key, and `/menus` one of a team. */
export const OPEN_ROUTE = Resource.parse({
  kind: 'route',
  name: 'open',
  pathPrefix: '/open',
  upstream: 'bookings',
  public: true,
  priority: 2,
});

export function teamOf(name: string, keys: readonly string[], more: Partial<Team> = {}): Team {
  return { kind: 'team', name, keyDigests: keys.map(keyDigest), ...more };
}

export const token = (key: string) => ({ authorization: `Token ${key}` });

/** A message as the endpoint has received it, without its body. */
export interface Received {
  readonly url: string | undefined;
  /** Names in lower case, with values; several of one name are kept. */
  readonly headers: readonly (readonly [string, string])[];
  readonly trailers: NodeJS.Dict<string>;
}

/** Starts a path with these teams; `received` fills up as requests reach the endpoint. */
export async function startWithTeams(
  ...teams: readonly Team[]
): Promise<{ readonly path: TestPath; readonly received: Received[] }> {
  const path = await TestPath.start();
  path.configuration = path.configuration.next({ put: [OPEN_ROUTE, ...teams], remove: [] });
  const received: Received[] = [];
  path.endpoints[0]!.upstream.on('run', (_: string, incoming: IncomingMessage) => {
    const { url, rawHeaders, trailers } = incoming;
    const headers = rawHeaders.flatMap((name, index) =>
      index % 2 === 0 ? [[name.toLowerCase(), rawHeaders[index + 1]!] as const] : [],
    );
    received.push({ url, headers, trailers });
  });
  return { path, received };
}

/** The value that the endpoint got of a header. */
export function valueOf({ headers }: Received, name: string): string | undefined {
  return headers.find(([of]) => of === name)?.[1];
}
