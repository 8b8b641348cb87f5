/** JSON requests to operators' ports and to the platform stand-in. */
import { Agent } from 'node:http';
import { type CallCounts } from '../standins/platform_store.js';
import { sendRequest } from './http_client.js';

const agent = new Agent({ keepAlive: true });

export async function getJson<T>(port: number, path: string): Promise<T> {
  const { body } = await sendRequest({ port, path, agent });
  return JSON.parse(body) as T;
}

/** Resolves to the number of calls that the platform stand-in has counted so far. */
export async function platformCalls(port: number): Promise<number> {
  const { reads, writes, watches } = await getJson<CallCounts>(port, '/calls');
  return reads + writes + watches;
}
