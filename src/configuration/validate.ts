/** The checks a configuration must pass: in the tool, at acceptance and at every proxy. */
import {
  type Change,
  type Problem,
  type Resource,
  resourceKey,
  type Route,
  type Rule,
} from '../contracts.js';
import { type Configuration } from './configuration.js';

export type { Problem };

/** Most resources of a configuration that proxies are sized for. */
export const MAX_RESOURCES = 20_000;

/** Longest resource, in bytes of canonical JSON: far below what one stored value may hold. */
export const MAX_RESOURCE_BYTES = 32_000;

/** Longest configuration, in bytes of canonical JSON, that proxies have the memory for. */
export const MAX_CONFIGURATION_BYTES = 8_000_000;

/** Resources put by one change up to which they are looked at by themselves. */
const FEW_RESOURCES = 64;

/** Every problem of the configuration; an empty list means it may be put in force. */
export function validate(configuration: Configuration): Problem[] {
  const problems = oversizes(configuration);
  const everywhere = [...configuration.all('rule')].filter((rule) => rule.everywhere);
  for (const route of configuration.all('route')) {
    problems.push(
      ...danglingReferences(configuration, route),
      ...brokenRules(configuration, route, everywhere),
    );
  }
  return problems;
}

/**
 * The same for what `change` has made of a configuration without problems. Where it touches nothing
 * that other routes depend on, only what it puts is looked at: it costs its change, not the whole.
 */
export function validateChange(configuration: Configuration, change: Change): Problem[] {
  const isLocal =
    change.put.every(({ kind }) => kind === 'route' || kind === 'upstream') &&
    change.remove.every((key) => key.startsWith('route/'));
  const isSmall = change.put.length <= FEW_RESOURCES;
  if (!isLocal || !isSmall) return validate(configuration);
  const everywhere = [...configuration.all('rule')].filter((rule) => rule.everywhere);
  const problems = exceeded(configuration);
  for (const resource of change.put) {
    problems.push(...problemsOf(configuration, resource, everywhere));
  }
  return problems;
}

function problemsOf(
  configuration: Configuration,
  resource: Resource,
  everywhere: readonly Rule[],
): Problem[] {
  const problems: Problem[] = [];
  const path = resourceKey(resource);
  // Of two of the same name in one change, the later is held.
  if (configuration.get(path) !== resource) return problems;
  if (configuration.isOversized(path, MAX_RESOURCE_BYTES)) problems.push(oversize(path));
  if (resource.kind !== 'route') return problems;
  return problems.concat(
    danglingReferences(configuration, resource),
    brokenRules(configuration, resource, everywhere),
  );
}

function oversizes(configuration: Configuration): Problem[] {
  const oversized = configuration.oversized(MAX_RESOURCE_BYTES).map(oversize);
  return [...oversized, ...exceeded(configuration)];
}

function oversize(path: string): Problem {
  return { path, message: `is longer than the ${MAX_RESOURCE_BYTES} bytes allowed` };
}

function exceeded({ size, bytes }: Configuration): Problem[] {
  const problems: Problem[] = [];
  const exceeds = (amount: number, unit: string, most: number) => {
    if (amount <= most) return;
    const message = `holds ${amount} ${unit}, at most ${most} are allowed`;
    problems.push({ path: 'configuration', message });
  };
  exceeds(size, 'resources', MAX_RESOURCES);
  exceeds(bytes, 'bytes', MAX_CONFIGURATION_BYTES);
  return problems;
}

function danglingReferences(configuration: Configuration, route: Route): Problem[] {
  const problems: Problem[] = [];
  const expect = (field: string, key: string) => {
    if (configuration.get(key)) return;
    problems.push({
      path: `route/${route.name}.${field}`,
      message: `${key} is not held in the same version`,
    });
  };
  expect('upstream', `upstream/${route.upstream}`);
  route.split?.forEach(({ upstream }, index) => expect(`split.${index}`, `upstream/${upstream}`));
  if (route.limit) expect('limit', `limit/${route.limit}`);
  route.rules.forEach((rule, index) => expect(`rules.${index}`, `rule/${rule}`));
  return problems;
}

function brokenRules(
  configuration: Configuration,
  route: Route,
  everywhere: readonly Rule[],
): Problem[] {
  const listed = route.rules.map((name) => configuration.find('rule', name));
  const rules = new Set([...everywhere, ...listed.filter((rule) => rule !== undefined)]);
  return [...rules].flatMap((rule) => breaches(route, rule));
}

function breaches(route: Route, rule: Rule): Problem[] {
  const problems: Problem[] = [];
  const breach = (field: string, message: string) =>
    problems.push({
      path: `route/${route.name}.${field}`,
      message: `rule ${rule.name}: ${message}`,
    });
  if (rule.requireLimit && !route.limit) breach('limit', 'the route must name a limit');
  if (rule.maxTimeoutMs !== undefined && route.timeoutMs > rule.maxTimeoutMs) {
    breach('timeoutMs', `must be at most ${rule.maxTimeoutMs}`);
  }
  if (rule.requireNotRepeatable && route.repeatable !== false) {
    breach('repeatable', 'the route must be marked repeatable: false');
  }
  if (rule.requireKey && !route.requireKey) {
    breach('requireKey', 'the route must insist on an Idempotency-Key');
  }
  return problems;
}
