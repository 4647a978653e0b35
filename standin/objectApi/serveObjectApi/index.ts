/**
 * Serves the object API over HTTP, with `/faults` paths that control its faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listen, type ListeningServer } from '../../../src/http/listen/index.js'
import type { WriteCondition, WriteResult } from '../../../src/objectApi/types.js'
import { readJson, sendJson } from '../../_lib/json.js'
import type { MemoryObjectStore, StoreFaults } from '../createMemoryObjectStore/index.js'

/** State of the store when `POST /faults/snapshot` was called. */
interface Snapshot {
  objects: ReturnType<MemoryObjectStore['snapshot']>
  revision: number
}

/**
 * @name serveObjectApi
 * @summary Starts an HTTP server for a store in memory.
 * @param store - The store.
 * @param options - Address and port.
 * @returns The server, once it listens.
 *
 * @example
 * await using server = await serveObjectApi(createMemoryObjectStore(), { address: '127.0.0.1', port: 0 })
 */
export async function serveObjectApi (
  store: MemoryObjectStore,
  options: { address: string, port: number }
): Promise<ListeningServer> {
  let snapshot: Snapshot | undefined
  let calls = 0

  async function handleFaults (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (path === '/faults/snapshot') snapshot = { objects: store.snapshot(), revision: store.revision() }
    if (path === '/faults/restore' && snapshot !== undefined) store.restore(snapshot.objects, snapshot.revision)
    if (path === '/faults/apply-held') store.applyHeld()
    if (path === '/faults') Object.assign(store.faults, await readJson(request) as Partial<StoreFaults>)
    sendJson(response, 200, { ...store.faults, calls, held: store.countHeldWrites() })
  }

  return await listen(async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://store')
    if (url.pathname.startsWith('/faults')) return await handleFaults(url.pathname, request, response)
    calls += 1
    if (store.faults.down) return sendJson(response, 503, { cause: 'down' })
    if (url.pathname === '/watch') return await answerWatch(url, response, store)
    if (url.pathname === '/objects') {
      const listed = await store.list(url.searchParams.get('prefix') ?? '')
      return sendJson(response, listed.kind === 'listed' ? 200 : 503, listed)
    }
    await answerObject(decodeURIComponent(url.pathname.slice('/objects/'.length)), request, response, store)
  }, options)
}

async function answerWatch (url: URL, response: ServerResponse, store: MemoryObjectStore): Promise<void> {
  const controller = new AbortController()
  const timer = setTimeout(() => { if (!store.faults.silentWatches) controller.abort() }, Number(url.searchParams.get('waitMs') ?? 0))
  response.once('close', () => controller.abort())
  const result = await store.watch(url.searchParams.get('prefix') ?? '', Number(url.searchParams.get('after')), { signal: controller.signal })
  clearTimeout(timer)
  if (result.kind === 'reset') return sendJson(response, 410, {})
  if (result.kind === 'unavailable') return sendJson(response, 503, result)
  sendJson(response, 200, result)
}

async function answerObject (key: string, request: IncomingMessage, response: ServerResponse, store: MemoryObjectStore): Promise<void> {
  if (request.method === 'GET') {
    const read = await store.read(key)
    if (read.kind === 'found') return sendJson(response, 200, read.object)
    return sendJson(response, read.kind === 'absent' ? 404 : 503, {})
  }
  const ifMatch = request.headers['if-match']
  const condition: WriteCondition = ifMatch === undefined ? { ifAbsent: true } : { ifVersion: Number(ifMatch) }
  const result = request.method === 'DELETE'
    ? await store.remove(key, condition as { ifVersion: number })
    : await store.write(key, await readJson(request), condition)
  answerWrite(result, response)
}

function answerWrite (result: WriteResult, response: ServerResponse): void {
  if (result.kind === 'written') return sendJson(response, 200, { version: result.version })
  if (result.kind === 'conflict') return sendJson(response, 412, {})
  if (result.kind === 'notApplied') return sendJson(response, 503, {})
  response.destroy()
}
