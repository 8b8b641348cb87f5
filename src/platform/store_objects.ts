/** Decodes the objects that the store sends. */
import * as z from 'zod';
import { type Changes, type Stored } from './platform.js';

const StoreObject = z.object({
  metadata: z.object({ name: z.string(), revision: z.number(), created: z.number().optional() }),
  spec: z.unknown(),
  status: z.unknown(),
});
const Page = z.object({
  items: z.array(StoreObject),
  hasMore: z.boolean().default(false),
  asOf: z.number(),
});
const Events = z.object({
  events: z.array(z.object({ object: StoreObject, deleted: z.boolean().default(false) })),
  asOf: z.number(),
});

export function parseObject(kind: string, body: unknown): Stored {
  return storedFrom(kind, StoreObject.parse(body));
}

export function parsePage(kind: string, body: unknown) {
  const { items, hasMore, asOf } = Page.parse(body);
  return { objects: items.map((item) => storedFrom(kind, item)), hasMore, asOf };
}

export function parseChanges(kind: string, body: unknown): Changes {
  const { events, asOf } = Events.parse(body);
  const changes = events.map(({ object, deleted }) => ({
    object: storedFrom(kind, object),
    isDeleted: deleted,
  }));
  return { changes, asOf };
}

function storedFrom(kind: string, object: z.infer<typeof StoreObject>): Stored {
  const { metadata, spec, status } = object;
  const { name, revision, created } = metadata;
  const value = typeof spec === 'string' ? spec : JSON.stringify(spec ?? null);
  return {
    key: `${kind}/${name}`,
    value,
    revision,
    ...(created !== undefined && { created }),
    ...(status !== undefined && status !== null && { status: JSON.stringify(status) }),
  };
}
