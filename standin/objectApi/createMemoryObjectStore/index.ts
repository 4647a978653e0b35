/**
 * An object store in memory that can show the faults of the real one. Tests use it directly; the
 * stand-in process serves it over HTTP.
 */
import type { ObjectStore, StoredObject, WatchResult, WriteCondition, WriteResult } from '../../../src/objectApi/types.js'

/** Faults that can be turned on and off while the store is in use. */
export interface StoreFaults {
  /** Every call fails and has no effect. */
  down: boolean
  /** Number of next writes that are applied but whose answers are lost. */
  loseAnswers: number
  /** Number of next writes whose answers are lost and that are applied only by `applyHeld`. */
  holdWrites: number
  /** Watches never answer, even when objects change. */
  silentWatches: boolean
}

/** A store in memory with its faults. */
export interface MemoryObjectStore extends ObjectStore {
  faults: StoreFaults
  /** Number of held writes. */
  countHeldWrites: () => number
  /** Applies the oldest `count` held writes as if they had just arrived; all of them by default. */
  applyHeld: (count?: number) => void
  /** Copies all stored objects. */
  snapshot: () => StoredObject[]
  /** Restores an older copy, with its lower versions and revision. */
  restore: (objects: StoredObject[], revision: number) => void
  revision: () => number
}

/** Number of key changes that watches can read; above it the older half is dropped. */
const MAX_CHANGES = 10_000

/**
 * @name createMemoryObjectStore
 * @summary Creates an empty store without faults.
 * @returns The store.
 *
 * @example
 * const store = createMemoryObjectStore()
 * store.faults.loseAnswers = 1
 */
export function createMemoryObjectStore (): MemoryObjectStore {
  const objects = new Map<string, StoredObject>()
  const faults: StoreFaults = { down: false, loseAnswers: 0, holdWrites: 0, silentWatches: false }
  const watchers = new Set<() => void>()
  let changes: Array<{ revision: number, key: string }> = []
  let held: Array<() => WriteResult> = []
  let revision = 0

  function commit (key: string, value: unknown): number {
    revision += 1
    const version = revision
    if (value === undefined) objects.delete(key)
    else objects.set(key, { key, version, value: structuredClone(value) })
    changes.push({ revision, key })
    if (changes.length > MAX_CHANGES) changes = changes.slice(-MAX_CHANGES / 2)
    wakeWatchers()
    return version
  }

  function wakeWatchers (): void {
    for (const wakeWatcher of [...watchers]) wakeWatcher()
  }

  function writeIfConditionHolds (key: string, value: unknown, condition: WriteCondition): WriteResult {
    const stored = objects.get(key)
    const isConditionMet = 'ifAbsent' in condition ? stored === undefined : stored?.version === condition.ifVersion
    return isConditionMet ? { kind: 'written', version: commit(key, value) } : { kind: 'conflict' }
  }

  function writeWithFaults (key: string, value: unknown, condition: WriteCondition): WriteResult {
    if (faults.down) return { kind: 'notApplied', cause: 'down' }
    if (faults.holdWrites > 0) {
      faults.holdWrites -= 1
      held.push(() => writeIfConditionHolds(key, value, condition))
      return { kind: 'mayBeApplied', cause: 'answer lost' }
    }
    const result = writeIfConditionHolds(key, value, condition)
    if (faults.loseAnswers === 0) return result
    faults.loseAnswers -= 1
    return { kind: 'mayBeApplied', cause: 'answer lost' }
  }

  function findChangedObjects (prefix: string, afterRevision: number): StoredObject[] {
    const keys = new Set(changes.filter(change => change.revision > afterRevision && change.key.startsWith(prefix)).map(change => change.key))
    return [...keys].flatMap(key => objects.get(key) ?? [])
  }

  function isHistoryDropped (afterRevision: number): boolean {
    if (afterRevision > revision) return true
    const oldest = changes[0]?.revision
    return afterRevision < revision && (oldest === undefined || oldest > afterRevision + 1)
  }

  async function watch (prefix: string, afterRevision: number, { signal }: { signal: AbortSignal }): Promise<WatchResult> {
    while (!signal.aborted) {
      if (faults.down) return { kind: 'unavailable', cause: 'down' }
      if (!faults.silentWatches) {
        if (isHistoryDropped(afterRevision)) return { kind: 'reset' }
        const changed = findChangedObjects(prefix, afterRevision)
        if (changed.length > 0) return { kind: 'changes', revision, objects: changed }
      }
      await new Promise<void>(resolve => {
        const wakeUp = (): void => {
          watchers.delete(wakeUp)
          signal.removeEventListener('abort', wakeUp)
          resolve()
        }
        watchers.add(wakeUp)
        signal.addEventListener('abort', wakeUp, { once: true })
      })
    }
    if (faults.silentWatches) return { kind: 'unavailable', cause: 'aborted' }
    return { kind: 'changes', revision, objects: [] }
  }

  return {
    faults,
    async read (key) {
      if (faults.down) return { kind: 'unavailable', cause: 'down' }
      const object = objects.get(key)
      return object === undefined ? { kind: 'absent' } : { kind: 'found', object: structuredClone(object) }
    },
    async list (prefix) {
      if (faults.down) return { kind: 'unavailable', cause: 'down' }
      const listed = [...objects.values()].filter(object => object.key.startsWith(prefix))
      return { kind: 'listed', revision, objects: structuredClone(listed) }
    },
    write: async (key, value, condition) => writeWithFaults(key, value, condition),
    remove: async (key, condition) => writeWithFaults(key, undefined, condition),
    watch,
    countHeldWrites: () => held.length,
    applyHeld (count = held.length) {
      const writes = held.slice(0, count)
      held = held.slice(count)
      for (const apply of writes) apply()
    },
    snapshot: () => structuredClone([...objects.values()]),
    restore (older, olderRevision) {
      objects.clear()
      for (const object of structuredClone(older)) objects.set(object.key, object)
      revision = olderRevision
      changes = []
      wakeWatchers()
    },
    revision: () => revision,
    async [Symbol.asyncDispose] () { wakeWatchers() }
  }
}
