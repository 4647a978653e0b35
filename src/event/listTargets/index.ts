/**
 * Finds the targets that an event names.
 */
import type { LoggedEvent } from '../types.js'

/**
 * @name listTargets
 * @summary Ids of the targets that an event names: in `target`, in a list of ids, or as the stages of its path or attempts.
 * @param event - The event.
 * @returns The ids, some perhaps more than once.
 *
 * @example
 * listTargets(event) // ['i-0629e19b61', 'i-18c75d9673']
 */
export function listTargets ({ target, removedIds, leavingIds, attempts, path }: LoggedEvent): string[] {
  const stageTexts = [attempts, path].flatMap(texts => Array.isArray(texts) ? texts.map(String) : [])
  const stageTargets = stageTexts.flatMap(text => text.split(',').map(stage => /^[^\s:]+/.exec(stage)?.[0] ?? ''))
  const lists = [removedIds, leavingIds].flatMap(ids => Array.isArray(ids) ? ids.map(String) : [])
  return [...(target === undefined ? [] : [target]), ...lists, ...stageTargets].filter(id => id !== '')
}
