/** Receives the reports of the upstream instance beside this process, in the platform's format. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import * as z from 'zod';
import { type Announcement } from '../membership/announcement.js';
import { type InstanceRun } from '../membership/instance_run.js';
import { createCheckedServer } from '../requests/client_errors.js';
import { requestListener } from '../requests/request_listener.js';
import { Duration, HostPort } from './wire.js';

const BAD_REQUEST = 400;

const Report = z.object({
  service: z.string(),
  address: HostPort,
  slots: z.number().int().min(1),
  version: z.string().optional(),
  coldRemaining: Duration.optional(),
  state: z.enum(['ready', 'draining']),
  /** Increases with each report between two starts of the upstream instance. */
  sequence: z.number().int(),
  /** Start of the upstream instance, in milliseconds since the epoch. */
  born: z.number().int().optional(),
});
const Departure = z.object({ born: z.number().int().optional() });

/** Receives valid reports. */
export interface ReportHandler {
  take(announcement: Announcement): void;
  depart(run: InstanceRun): void;
  /** Resolves when neighbours hold the last report, so that it survives the end of this process. */
  kept(): Promise<void>;
}

/** Refuses reports of other services: they do not describe an endpoint of this machine. */
export function createReportServer(service: () => string, handler: ReportHandler): Server {
  return createCheckedServer(
    requestListener('reports', async (request, response) => {
      // A report that cannot be parsed changes nothing, and its sender gets an error.
      answer(response, await serve(request, service(), handler).catch(() => BAD_REQUEST));
    }),
  );
}

async function serve(request: IncomingMessage, service: string, handler: ReportHandler) {
  const { searchParams } = new URL(request.url ?? '/', 'http://control');
  const id = searchParams.get('of') ?? '';
  const body = await text(request);
  switch (searchParams.get('call')) {
    case 'instances.heartbeat': {
      const report = Report.parse(JSON.parse(body));
      if (report.service !== service) return BAD_REQUEST;
      handler.take(announcementOf(id, report));
      if (report.state === 'draining') await handler.kept();
      return 200;
    }
    case 'instances.deregister': {
      const { born } = Departure.parse(body === '' ? {} : JSON.parse(body));
      handler.depart({ id, born });
      await handler.kept();
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
