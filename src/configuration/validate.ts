/**
 * Checks that a configuration must pass at every proxy. They cover what serving requests relies on,
 * and no sizes: those are for acceptance to limit, as a proxy that refuses a version for its size
 * keeps an older one in force, although the version was accepted.
 */
import {
  type Change,
  type Kind,
  type Problem,
  type Resource,
  resourceKey,
  type Route,
  type Rule,
} from '../contracts.js';
import { type Configuration } from './configuration.js';
import { teamProblems } from './team_problems.js';

export type { Problem };

/** Maximum number of resources in a change that is checked incrementally. */
const MAX_INCREMENTAL_RESOURCES = 64;

/** Kinds of resources that can be put without a problem for a route that the change does not put. */
const LOCAL_KINDS: ReadonlySet<Kind> = new Set(['route', 'upstream', 'team']);

/** Returns all problems of the configuration; it may only be applied if there are none. */
export function validate(configuration: Configuration): Problem[] {
  const problems: Problem[] = [];
  const everywhere = [...configuration.all('rule')].filter((rule) => rule.everywhere);
  for (const route of configuration.all('route')) {
    problems.push(
      ...danglingReferences(configuration, route),
      ...ruleProblems(configuration, route, everywhere),
    );
  }
  return problems.concat(teamProblems(configuration));
}

/**
 * Returns the problems of a configuration that results from applying `change` to one without
 * problems. If the change touches nothing that other routes depend on, only the resources that it
 * puts are checked, so that the cost depends on the size of the change and not of the
 * configuration.
 */
export function validateChange(configuration: Configuration, change: Change): Problem[] {
  const isLocal =
    change.put.every(({ kind }) => LOCAL_KINDS.has(kind)) &&
    change.remove.every((key) => key.startsWith('route/') || key.startsWith('team/'));
  const isSmall = change.put.length <= MAX_INCREMENTAL_RESOURCES;
  if (!isLocal || !isSmall) return validate(configuration);
  const everywhere = [...configuration.all('rule')].filter((rule) => rule.everywhere);
  const problems: Problem[] = [];
  for (const resource of change.put) {
    problems.push(...resourceProblems(configuration, resource, everywhere));
  }
  // The key of a team may have moved to it from any other.
  if (change.put.some(({ kind }) => kind === 'team')) problems.push(...teamProblems(configuration));
  return problems;
}

function resourceProblems(
  configuration: Configuration,
  resource: Resource,
  everywhere: readonly Rule[],
): Problem[] {
  // If a change puts two resources of the same name, the later one is kept.
  if (configuration.get(resourceKey(resource)) !== resource) return [];
  if (resource.kind !== 'route') return [];
  return [
    ...danglingReferences(configuration, resource),
    ...ruleProblems(configuration, resource, everywhere),
  ];
}

function danglingReferences(configuration: Configuration, route: Route): Problem[] {
  const problems: Problem[] = [];
  const requireResource = (field: string, key: string) => {
    if (configuration.get(key)) return;
    problems.push({
      path: `route/${route.name}.${field}`,
      message: `${key} is not held in the same version`,
    });
  };
  requireResource('upstream', `upstream/${route.upstream}`);
  route.split?.forEach(({ upstream }, index) =>
    requireResource(`split.${index}`, `upstream/${upstream}`),
  );
  if (route.limit) requireResource('limit', `limit/${route.limit}`);
  route.rules.forEach((rule, index) => requireResource(`rules.${index}`, `rule/${rule}`));
  return problems;
}

function ruleProblems(
  configuration: Configuration,
  route: Route,
  everywhere: readonly Rule[],
): Problem[] {
  const listed = route.rules.map((name) => configuration.find('rule', name));
  const rules = new Set([...everywhere, ...listed.filter((rule) => rule !== undefined)]);
  return [...rules].flatMap((rule) => ruleViolations(route, rule));
}

function ruleViolations(route: Route, rule: Rule): Problem[] {
  const problems: Problem[] = [];
  const add = (field: string, message: string) =>
    problems.push({
      path: `route/${route.name}.${field}`,
      message: `rule ${rule.name}: ${message}`,
    });
  if (rule.requireLimit && !route.limit) add('limit', 'the route must name a limit');
  if (rule.maxTimeoutMs !== undefined && route.timeoutMs > rule.maxTimeoutMs) {
    add('timeoutMs', `must be at most ${rule.maxTimeoutMs} ms, is ${route.timeoutMs} ms`);
  }
  if (rule.requireNotRepeatable && route.repeatable !== false) {
    add('repeatable', 'the route must set repeatable: false');
  }
  if (rule.requireKey && !route.requireKey) {
    add('requireKey', 'the route must require an Idempotency-Key');
  }
  return problems;
}
