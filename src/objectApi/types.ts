/**
 * Interface to the platform's object API: versioned values, conditional writes and watches. Results
 * state what is known: a write whose answer was lost may have been applied, or may be later.
 */

/** A value with its key and the version that the store assigned. */
export interface StoredObject {
  key: string
  /** Increased by each write of this key. */
  version: number
  /** JSON value, up to a megabyte. */
  value: unknown
}

/** Result of a read. */
export type ReadResult =
  | { kind: 'found', object: StoredObject }
  | { kind: 'absent' }
  | { kind: 'unavailable', cause: string }

/** Result of a list. `revision` is the revision of the store, from which a watch can start, and `era` how often the store has come back from a copy, if it says so. */
export type ListResult =
  | { kind: 'listed', era?: number | undefined, revision: number, objects: StoredObject[] }
  | { kind: 'unavailable', cause: string }

/** Result of a write. */
export type WriteResult =
  | { kind: 'written', version: number }
  | { kind: 'conflict' }
  | { kind: 'notApplied', cause: string }
  /** Sent without a definite answer: the write may have taken effect, or may at any later time. */
  | { kind: 'mayBeApplied', cause: string }

/** Condition on the stored object under which a write is applied. */
export type WriteCondition = { ifAbsent: true } | { ifVersion: number }

/** Result of one wait on a watch. */
export type WatchResult =
  /** `removedKeys` is absent if the watches of the store do not report removals. */
  | { kind: 'changes', era?: number | undefined, revision: number, objects: StoredObject[], removedKeys?: string[] }
  /** The store no longer knows the revision, for instance after a restore; list again. */
  | { kind: 'reset' }
  /** No answer within the wait and its grace time; the connection is closed. */
  | { kind: 'silent', afterMs: number }
  | { kind: 'unavailable', cause: string }

/** Options of a watch. */
export interface WatchOptions {
  signal: AbortSignal
  /** How long it waits for a change, and how much later it counts as silent, in milliseconds; the client's own times by default. */
  waitMs?: number
  graceMs?: number
  /** Part of the client's own wait, above 0 and at most 1. */
  waitShare?: number
}

/** A client of the object API. */
export interface ObjectStore extends AsyncDisposable {
  read: (key: string) => Promise<ReadResult>
  /** With `mayBeStale` the answer may be seconds old, and costs the store less. */
  list: (prefix: string, options?: { mayBeStale?: boolean }) => Promise<ListResult>
  write: (key: string, value: unknown, condition: WriteCondition) => Promise<WriteResult>
  remove: (key: string, condition: { ifVersion: number }) => Promise<WriteResult>
  /** Waits for changes under a prefix after a store revision; reports no objects if the wait passes without a change. */
  watch: (prefix: string, afterRevision: number, options: WatchOptions) => Promise<WatchResult>
}
