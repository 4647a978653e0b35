/**
 * Port to the platform's object API: versioned values, conditional writes and watches. Results
 * say what is known: a write whose answer was lost may have been applied, now or later.
 */

/** A value with the version that the store gave it. */
export interface StoredObject {
  key: string
  /** Raised by each write of this key. */
  version: number
  /** JSON value, up to a megabyte. */
  value: unknown
}

/** Result of a read. */
export type ReadResult =
  | { kind: 'found', object: StoredObject }
  | { kind: 'absent' }
  | { kind: 'unavailable', cause: string }

/** Result of a list. `revision` is the store's, to watch from. */
export type ListResult =
  | { kind: 'listed', revision: number, objects: StoredObject[] }
  | { kind: 'unavailable', cause: string }

/** Result of a write. */
export type WriteResult =
  | { kind: 'written', version: number }
  | { kind: 'conflict' }
  | { kind: 'notApplied', cause: string }
  /** Sent, and no answer came: the write may take effect at any later time. */
  | { kind: 'mayBeApplied', cause: string }

/** What a write requires of the stored object. */
export type WriteCondition = { ifAbsent: true } | { ifVersion: number }

/** Result of one wait on a watch. */
export type WatchResult =
  /** `removedKeys` is absent from stores whose watches do not tell of removals. */
  | { kind: 'changes', revision: number, objects: StoredObject[], removedKeys?: string[] }
  /** The store no longer knows the revision, as after a restore: list again. */
  | { kind: 'reset' }
  /** No answer although the wait and its grace have passed; the connection is closed. */
  | { kind: 'silent', afterMs: number }
  | { kind: 'unavailable', cause: string }

/** The object API as the product uses it. */
export interface ObjectStore extends AsyncDisposable {
  read: (key: string) => Promise<ReadResult>
  list: (prefix: string) => Promise<ListResult>
  write: (key: string, value: unknown, condition: WriteCondition) => Promise<WriteResult>
  remove: (key: string, condition: { ifVersion: number }) => Promise<WriteResult>
  /** Waits for changes under a prefix after a store revision; empty changes after the wait. */
  watch: (prefix: string, afterRevision: number, options: { signal: AbortSignal }) => Promise<WatchResult>
}
