/**
 * Adapter to an object API that speaks HTTP with `If-Match` and `If-None-Match`.
 */
import { Agent, request, type Dispatcher } from 'undici'
import { DeadlineError, withDeadline } from '../../runtime/withDeadline/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { ListResult, ObjectStore, ReadResult, StoredObject, WatchResult, WriteCondition, WriteResult } from '../types.js'

/** Added to a watch's wait before the watch is held to be silent. */
const WATCH_GRACE_MS = 1_000

/** Codes of failures that happen before any byte of a call has left. */
const NEVER_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** How the adapter reaches the object API. */
export interface HttpObjectStoreOptions {
  url: string
  callTimeoutMs: number
  watchWaitMs: number
  runtime: Runtime
  /** Called once for each call made, for the budget's metric. */
  onCall?: (operation: 'read' | 'list' | 'write' | 'watch') => void
  /** Called with the size of the bodies of each answered call. */
  onBytes?: (sizeBytes: number) => void
}

/**
 * @name createHttpObjectStore
 * @summary The object API over HTTP.
 * @param options - Address, deadlines and runtime.
 * @returns The store; its disposal closes every connection.
 *
 * @example
 * await using store = createHttpObjectStore({ url, callTimeoutMs: 2000, watchWaitMs: 5000, runtime })
 */
export function createHttpObjectStore (options: HttpObjectStoreOptions): ObjectStore {
  const { url, callTimeoutMs, watchWaitMs, runtime, onCall = () => {}, onBytes = () => {} } = options
  const agent = new Agent({ connect: { timeout: callTimeoutMs }, pipelining: 1 })
  const objectUrl = (key: string): string => `${url}/objects/${encodeURIComponent(key)}`

  async function call (
    target: string,
    init: { method: Dispatcher.HttpMethod, headers?: Record<string, string>, body?: string },
    limits: { timeoutMs: number, parent?: AbortSignal, fresh?: boolean }
  ): Promise<{ status: number, body: unknown }> {
    using deadline = withDeadline(limits.timeoutMs, { runtime, ...(limits.parent ? { parent: limits.parent } : {}) })
    const response = await request(target, { ...init, dispatcher: agent, signal: deadline.signal, reset: limits.fresh ?? false })
    const text = await response.body.text()
    onBytes(text.length + (init.body?.length ?? 0))
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  }

  async function sendWrite (key: string, init: Parameters<typeof call>[1]): Promise<WriteResult> {
    onCall('write')
    try {
      const { status, body } = await call(objectUrl(key), init, { timeoutMs: callTimeoutMs })
      if (status === 200) return { kind: 'written', version: (body as { version: number }).version }
      if (status === 412) return { kind: 'conflict' }
      if (status === 429 || status === 503) return { kind: 'notApplied', cause: `status ${status}` }
      return { kind: 'mayBeApplied', cause: `status ${status}` }
    } catch (error) {
      const cause = describe(error)
      return { kind: NEVER_CONNECTED.has(codeOf(error)) ? 'notApplied' : 'mayBeApplied', cause }
    }
  }

  return {
    async read (key): Promise<ReadResult> {
      onCall('read')
      try {
        const { status, body } = await call(objectUrl(key), { method: 'GET' }, { timeoutMs: callTimeoutMs })
        if (status === 200) return { kind: 'found', object: body as StoredObject }
        return status === 404 ? { kind: 'absent' } : { kind: 'unavailable', cause: `status ${status}` }
      } catch (error) {
        return { kind: 'unavailable', cause: describe(error) }
      }
    },
    async list (prefix): Promise<ListResult> {
      onCall('list')
      try {
        const target = `${url}/objects?prefix=${encodeURIComponent(prefix)}`
        const { status, body } = await call(target, { method: 'GET' }, { timeoutMs: callTimeoutMs })
        if (status !== 200) return { kind: 'unavailable', cause: `status ${status}` }
        return { kind: 'listed', ...(body as { revision: number, objects: StoredObject[] }) }
      } catch (error) {
        return { kind: 'unavailable', cause: describe(error) }
      }
    },
    write: (key, value, condition) => sendWrite(key, {
      method: 'PUT',
      headers: { 'content-type': 'application/json', ...conditionHeaders(condition) },
      body: JSON.stringify(value)
    }),
    remove: (key, condition) => sendWrite(key, { method: 'DELETE', headers: conditionHeaders(condition) }),
    async watch (prefix, afterRevision, { signal }): Promise<WatchResult> {
      onCall('watch')
      const query = `prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${watchWaitMs}`
      try {
        const limits = { timeoutMs: watchWaitMs + WATCH_GRACE_MS, parent: signal, fresh: true }
        const { status, body } = await call(`${url}/watch?${query}`, { method: 'GET' }, limits)
        if (status === 410) return { kind: 'reset' }
        if (status !== 200) return { kind: 'unavailable', cause: `status ${status}` }
        return { kind: 'changes', ...(body as { revision: number, objects: StoredObject[] }) }
      } catch (error) {
        if (error instanceof DeadlineError) return { kind: 'silent', afterMs: error.deadlineMs }
        return { kind: 'unavailable', cause: describe(error) }
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy()
  }
}

function conditionHeaders (condition: WriteCondition): Record<string, string> {
  return 'ifAbsent' in condition ? { 'if-none-match': '*' } : { 'if-match': String(condition.ifVersion) }
}

function codeOf (error: unknown): string {
  return (error as { code?: string }).code ?? ''
}

function describe (error: unknown): string {
  return error instanceof Error ? `${codeOf(error)} ${error.message}`.trim() : String(error)
}
