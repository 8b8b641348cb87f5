/** Turns release notes into changes of a configuration. */
import { type Configuration } from '../configuration/configuration.js';
import { type Problem } from '../configuration/validate.js';
import {
  type Change,
  type ReleaseNote,
  type Resource,
  type ResourceKey,
  resourceKey,
  type Section,
} from '../contracts.js';

/** What a note would do to a configuration, or why it cannot. */
export interface Evaluation {
  readonly change: Change;
  /** Restores the state before the note. */
  readonly undo: Change;
  readonly problems: readonly Problem[];
}

/** Works out the change that `note` makes to `configuration`. */
export function evaluate(note: ReleaseNote, configuration: Configuration): Evaluation {
  const problems: Problem[] = [];
  const seen = new Set<ResourceKey>();
  const added = listed(note.add);
  const changed = listed(note.change);
  const withdrawn = withdrawnKeys(note);
  const check = (section: string, key: ResourceKey, mustBeHeld: boolean) => {
    const path = `${section}.${key}`;
    if (seen.has(key)) problems.push({ path, message: 'named more than once in the note' });
    seen.add(key);
    const isHeld = configuration.get(key) !== undefined;
    if (isHeld && !mustBeHeld)
      problems.push({ path, message: 'is held already; list it under change' });
    if (!isHeld && mustBeHeld) problems.push({ path, message: 'is not held' });
  };
  added.forEach((resource) => check('add', resourceKey(resource), false));
  changed.forEach((resource) => check('change', resourceKey(resource), true));
  withdrawn.forEach((key) => check('withdraw', key, true));
  if (seen.size === 0)
    problems.push({ path: 'note', message: 'adds, changes and withdraws nothing' });
  const change = { put: [...added, ...changed], remove: withdrawn };
  return { change, undo: inverse(change, configuration), problems };
}

/** Keys that a change touches. */
export function touched(change: Change): ResourceKey[] {
  return [...change.put.map(resourceKey), ...change.remove];
}

/** The change that leads back from `change` to `configuration`, for the resources it touches. */
export function inverse(change: Change, configuration: Configuration): Change {
  const put: Resource[] = [];
  const remove: ResourceKey[] = [];
  for (const key of touched(change)) {
    const before = configuration.get(key);
    if (before) put.push(before);
    else remove.push(key);
  }
  return { put, remove };
}

function listed(section: Section): Resource[] {
  return [
    ...section.upstreams.map((upstream) => ({ kind: 'upstream' as const, ...upstream })),
    ...section.limits.map((limit) => ({ kind: 'limit' as const, ...limit })),
    ...section.rules.map((rule) => ({ kind: 'rule' as const, ...rule })),
    ...section.routes.map((route) => ({ kind: 'route' as const, ...route })),
  ];
}

function withdrawnKeys({ withdraw }: ReleaseNote): ResourceKey[] {
  return [
    ...withdraw.upstreams.map((name) => `upstream/${name}`),
    ...withdraw.limits.map((name) => `limit/${name}`),
    ...withdraw.rules.map((name) => `rule/${name}`),
    ...withdraw.routes.map((name) => `route/${name}`),
  ];
}
