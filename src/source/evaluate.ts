/** Computes the changes that release notes make to a configuration. */
import { type Configuration } from '../configuration/configuration.js';
import { digestOf } from '../configuration/digest.js';
import {
  type Change,
  type Problem,
  type ReleaseNote,
  type Resource,
  type ResourceKey,
  resourceKey,
  type Section,
} from '../contracts.js';

/** The change that a note makes to a configuration, and what prevents it. */
export interface Evaluation {
  readonly change: Change;
  /** Change that restores the state before the note. */
  readonly undo: Change;
  readonly problems: readonly Problem[];
}

/** What a note has changed so far: the change of its latest version, and its inverse. */
export type Effect = Pick<Evaluation, 'change' | 'undo'>;

/** Computes the change that `note` makes to `configuration`. */
export function evaluate(note: ReleaseNote, configuration: Configuration): Evaluation {
  const problems: Problem[] = [];
  const seen = new Set<ResourceKey>();
  const added = resourcesOf(note.add);
  const changed = resourcesOf(note.change);
  const withdrawn = withdrawnKeys(note);
  const check = (section: string, key: ResourceKey, mustExist: boolean) => {
    const path = `${section}.${key}`;
    if (seen.has(key)) problems.push({ path, message: 'named more than once in the note' });
    seen.add(key);
    const exists = configuration.get(key) !== undefined;
    if (exists && !mustExist)
      problems.push({ path, message: 'exists already; list it under change' });
    if (!exists && mustExist) problems.push({ path, message: 'does not exist' });
  };
  added.forEach((resource) => check('add', resourceKey(resource), false));
  changed.forEach((resource) => check('change', resourceKey(resource), true));
  withdrawn.forEach((key) => check('withdraw', key, true));
  if (seen.size === 0)
    problems.push({ path: 'note', message: 'adds, changes and withdraws nothing' });
  const change = { put: [...added, ...changed], remove: withdrawn };
  return { change, undo: inverse(change, configuration), problems };
}

/** Computes the one change that undoes `effect` and applies `note` instead. */
export function evaluateAmendment(
  note: ReleaseNote,
  effect: Effect,
  configuration: Configuration,
): Evaluation {
  const { change, undo, problems } = evaluate(note, configuration.next(effect.undo));
  return { change: compose(effect.undo, change), undo, problems };
}

/** Computes the change that undoes `effect`. */
export function evaluateWithdrawal(effect: Effect, configuration: Configuration): Evaluation {
  const change = effect.undo;
  return { change, undo: inverse(change, configuration), problems: [] };
}

/** Keys of resources that differ from what the note left, because a later note touched them. */
export function overwrittenKeys(effect: Effect, configuration: Configuration): ResourceKey[] {
  const left = new Map(effect.change.put.map((resource) => [resourceKey(resource), resource]));
  return touchedKeys(effect.undo).filter(
    (key) => digestOf(left.get(key)) !== digestOf(configuration.get(key)),
  );
}

export function touchedKeys(change: Change): ResourceKey[] {
  return [...change.put.map(resourceKey), ...change.remove];
}

/** The change that undoes `change` after it was applied to `configuration`. */
export function inverse(change: Change, configuration: Configuration): Change {
  const put: Resource[] = [];
  const remove: ResourceKey[] = [];
  for (const key of touchedKeys(change)) {
    const before = configuration.get(key);
    if (before) put.push(before);
    else remove.push(key);
  }
  return { put, remove };
}

/** One change with the effect of `first` followed by `second`. */
function compose(first: Change, second: Change): Change {
  const later = new Set(touchedKeys(second));
  return {
    put: [...first.put.filter((resource) => !later.has(resourceKey(resource))), ...second.put],
    remove: [...first.remove.filter((key) => !later.has(key)), ...second.remove],
  };
}

function resourcesOf(section: Section): Resource[] {
  return [
    ...section.upstreams.map((upstream) => ({ kind: 'upstream' as const, ...upstream })),
    ...section.limits.map((limit) => ({ kind: 'limit' as const, ...limit })),
    ...section.rules.map((rule) => ({ kind: 'rule' as const, ...rule })),
    ...section.routes.map((route) => ({ kind: 'route' as const, ...route })),
    ...(section.teams ?? []).map((team) => ({ kind: 'team' as const, ...team })),
  ];
}

function withdrawnKeys({ withdraw }: ReleaseNote): ResourceKey[] {
  return [
    ...withdraw.upstreams.map((name) => `upstream/${name}`),
    ...withdraw.limits.map((name) => `limit/${name}`),
    ...withdraw.rules.map((name) => `rule/${name}`),
    ...withdraw.routes.map((name) => `route/${name}`),
    ...(withdraw.teams ?? []).map((name) => `team/${name}`),
  ];
}
