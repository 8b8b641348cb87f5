/** Turns release notes into changes of a configuration. */
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

/** What a note would do to a configuration, or why it cannot. */
export interface Evaluation {
  readonly change: Change;
  /** Restores the state before the note. */
  readonly undo: Change;
  readonly problems: readonly Problem[];
}

/** What a note has done so far: the change of its latest version and what takes it back. */
export type Effect = Pick<Evaluation, 'change' | 'undo'>;

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

/** Works out the one change that takes `effect` back and makes what `note` says instead. */
export function evaluateAmendment(
  note: ReleaseNote,
  effect: Effect,
  configuration: Configuration,
): Evaluation {
  const { change, undo, problems } = evaluate(note, configuration.next(effect.undo));
  return { change: compose(effect.undo, change), undo, problems };
}

/** Works out the change that takes `effect` back. */
export function evaluateWithdrawal(effect: Effect, configuration: Configuration): Evaluation {
  const change = effect.undo;
  return { change, undo: inverse(change, configuration), problems: [] };
}

/** Keys of resources that are not as the note left them: a later note touched them. */
export function disturbed(effect: Effect, configuration: Configuration): ResourceKey[] {
  const left = new Map(effect.change.put.map((resource) => [resourceKey(resource), resource]));
  return touched(effect.undo).filter(
    (key) => digestOf(left.get(key)) !== digestOf(configuration.get(key)),
  );
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

/** One change that does what `first` and then `second` would do. */
function compose(first: Change, second: Change): Change {
  const later = new Set(touched(second));
  return {
    put: [...first.put.filter((resource) => !later.has(resourceKey(resource))), ...second.put],
    remove: [...first.remove.filter((key) => !later.has(key)), ...second.remove],
  };
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
