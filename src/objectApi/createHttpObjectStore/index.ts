/**
 * Adapter to an object API over HTTP, with conditional writes by `If-Match` and `If-None-Match`.
 */
import { Agent, request, type Dispatcher } from 'undici'
import { DeadlineError, withDeadline } from '../../runtime/withDeadline/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { ListResult, ObjectStore, ReadResult, StoredObject, WatchResult, WriteCondition, WriteResult } from '../types.js'

/** Time after the wait of a watch before the watch counts as silent. */
const WATCH_GRACE_MS = 1_000

/** Codes of errors that occur before any byte of a call is sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Address of the object API, time limits, and callbacks for metrics. */
export interface HttpObjectStoreOptions {
  url: string
  callTimeoutMs: number
  /** How long the server may wait for changes before it answers a watch. */
  watchWaitMs: number
  runtime: Runtime
  /** Called once for each call made, for the metric of the call budget. */
  onCall?: (operation: 'read' | 'list' | 'write' | 'watch') => void
  /** Called with the total size of request and response body of each answered call. */
  onBytes?: (sizeBytes: number) => void
}

/**
 * @name createHttpObjectStore
 * @summary Creates a client of the object API over HTTP.
 * @param options - Address, time limits and runtime.
 * @returns The store; disposing it closes all connections.
 *
 * @example
 * await using store = createHttpObjectStore({ url, callTimeoutMs: 2000, watchWaitMs: 5000, runtime })
 */
export function createHttpObjectStore (options: HttpObjectStoreOptions): ObjectStore {
  const { url, callTimeoutMs, watchWaitMs, runtime, onCall = () => {}, onBytes = () => {} } = options
  const agent = new Agent({ connect: { timeout: callTimeoutMs }, pipelining: 1 })
  const objectUrl = (key: string): string => `${url}/objects/${encodeURIComponent(key)}`

  /** Sends one HTTP request; `closesConnection` keeps its connection from being used again. */
  async function sendRequest (
    requestUrl: string,
    init: { method: Dispatcher.HttpMethod, headers?: Record<string, string>, body?: string },
    limits: { timeoutMs: number, parent?: AbortSignal, closesConnection?: boolean }
  ): Promise<{ status: number, body: unknown }> {
    using deadline = withDeadline(limits.timeoutMs, { runtime, ...(limits.parent ? { parent: limits.parent } : {}) })
    const response = await request(requestUrl, { ...init, dispatcher: agent, signal: deadline.signal, reset: limits.closesConnection ?? false })
    const text = await response.body.text()
    onBytes(text.length + (init.body?.length ?? 0))
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  }

  async function sendWrite (key: string, init: Parameters<typeof sendRequest>[1]): Promise<WriteResult> {
    onCall('write')
    try {
      const { status, body } = await sendRequest(objectUrl(key), init, { timeoutMs: callTimeoutMs })
      if (status === 200) return { kind: 'written', version: (body as { version: number }).version }
      if (status === 412) return { kind: 'conflict' }
      if (status === 429 || status === 503) return { kind: 'notApplied', cause: `status ${status}` }
      return { kind: 'mayBeApplied', cause: `status ${status}` }
    } catch (error) {
      const cause = describeError(error)
      return { kind: CONNECT_ERROR_CODES.has(errorCode(error)) ? 'notApplied' : 'mayBeApplied', cause }
    }
  }

  return {
    async read (key): Promise<ReadResult> {
      onCall('read')
      try {
        const { status, body } = await sendRequest(objectUrl(key), { method: 'GET' }, { timeoutMs: callTimeoutMs })
        if (status === 200) return { kind: 'found', object: body as StoredObject }
        return status === 404 ? { kind: 'absent' } : { kind: 'unavailable', cause: `status ${status}` }
      } catch (error) {
        return { kind: 'unavailable', cause: describeError(error) }
      }
    },
    async list (prefix): Promise<ListResult> {
      onCall('list')
      try {
        const listUrl = `${url}/objects?prefix=${encodeURIComponent(prefix)}`
        const { status, body } = await sendRequest(listUrl, { method: 'GET' }, { timeoutMs: callTimeoutMs })
        if (status !== 200) return { kind: 'unavailable', cause: `status ${status}` }
        return { kind: 'listed', ...(body as { revision: number, objects: StoredObject[] }) }
      } catch (error) {
        return { kind: 'unavailable', cause: describeError(error) }
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
        const limits = { timeoutMs: watchWaitMs + WATCH_GRACE_MS, parent: signal, closesConnection: true }
        const { status, body } = await sendRequest(`${url}/watch?${query}`, { method: 'GET' }, limits)
        if (status === 410) return { kind: 'reset' }
        if (status !== 200) return { kind: 'unavailable', cause: `status ${status}` }
        return { kind: 'changes', ...(body as { revision: number, objects: StoredObject[] }) }
      } catch (error) {
        if (error instanceof DeadlineError) return { kind: 'silent', afterMs: error.deadlineMs }
        return { kind: 'unavailable', cause: describeError(error) }
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy()
  }
}

function conditionHeaders (condition: WriteCondition): Record<string, string> {
  return 'ifAbsent' in condition ? { 'if-none-match': '*' } : { 'if-match': String(condition.ifVersion) }
}

function errorCode (error: unknown): string {
  return (error as { code?: string }).code ?? ''
}

function describeError (error: unknown): string {
  return error instanceof Error ? `${errorCode(error)} ${error.message}`.trim() : String(error)
}
