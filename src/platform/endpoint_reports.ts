/** Takes what the upstream instance beside this process says of itself, as the platform spells it. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import * as z from 'zod';
import { type Announcement, type Life } from '../membership/announcement.js';
import { Duration, HostPort } from './wire.js';

const Report = z.object({
  service: z.string(),
  address: HostPort,
  slots: z.number().int().min(1),
  version: z.string().optional(),
  coldRemaining: Duration.optional(),
  state: z.enum(['ready', 'draining']),
  /** Rises with each report of one life. */
  sequence: z.number().int(),
  /** Start of the upstream instance, in milliseconds since the epoch. */
  born: z.number().int().optional(),
});
const Departure = z.object({ born: z.number().int().optional() });

/** Who is told. */
export interface Reported {
  take(announcement: Announcement): void;
  depart(life: Life): void;
  /** Resolves when what was said last outlives this process. */
  kept(): Promise<void>;
}

/** Reports with another service name are from another writer, and name no endpoint of this machine. */
export function endpointReports(service: () => string, reported: Reported): Server {
  return createServer((request, response) => {
    serve(request, service(), reported)
      .then((status) => answer(response, status))
      // Bytes that cannot be read change nothing; whoever sent them is told.
      .catch(() => answer(response, 400));
  });
}

async function serve(request: IncomingMessage, service: string, reported: Reported) {
  const { searchParams } = new URL(request.url ?? '/', 'http://control');
  const id = searchParams.get('of') ?? '';
  const body = await text(request);
  switch (searchParams.get('call')) {
    case 'instances.heartbeat': {
      const report = Report.parse(JSON.parse(body));
      if (report.service !== service) return 400;
      reported.take(announcementOf(id, report));
      if (report.state === 'draining') await reported.kept();
      return 200;
    }
    case 'instances.deregister': {
      const { born } = Departure.parse(body === '' ? {} : JSON.parse(body));
      reported.depart({ id, born });
      await reported.kept();
      return 200;
    }
    default:
      return 404;
  }
}

function announcementOf(id: string, report: z.infer<typeof Report>): Announcement {
  const { service, address, slots, version, state, sequence, born, coldRemaining: coldMs } = report;
  return { upstream: service, state, slots, version, ...address, id, born, sequence, coldMs };
}

function answer(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': 2 });
  response.end('{}');
}
