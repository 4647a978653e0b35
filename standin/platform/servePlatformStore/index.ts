/**
 * Stand-in of the platform's metadata store: objects by kind, one revision counter, lists in pages,
 * watches, and faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { listen, type ListeningServer } from '../../../src/http/listen/index.js'
import { sendJson } from '../../../src/http/sendJson/index.js'

/** A stored object. */
interface StoreObject {
  metadata: { name: string, revision: number, created: number, finalizers: string[], deleting: boolean }
  spec: unknown
  status: unknown
}

/** A change of one object, as watches report it. */
interface StoreEvent {
  kind: string
  revision: number
  object: StoreObject
  deleted: boolean
}

/** Faults that a test can turn on. */
export interface StoreFaults {
  /** Every call is answered with this status. */
  status?: 503 | 429
  /** No call is answered. */
  isSilent?: boolean
  /** The next write is applied but its answer is lost. */
  losesNextWriteAnswer?: boolean
  /** The next watch is answered with 410, as if the changes since its revision were no longer kept. */
  expiresNextWatch?: boolean
  /** Pages of stale lists after the first show the state at this revision. */
  laterPagesAt?: number
}

/** A running store. */
export interface PlatformStoreStandin extends ListeningServer {
  faults: StoreFaults
  put: (kind: string, name: string, spec: unknown) => void
  remove: (kind: string, name: string) => void
  /** The present state, for `restore`. */
  copy: () => StoreCopy
  /** Comes back from a copy, as in a drill: later changes are lost, their revisions are given out again, the era rises, and open connections are reset. */
  restore: (copy: StoreCopy) => void
  /** Makes the open connections go silent for good, while new ones work. */
  silenceConnections: () => void
  /** Calls received, each as method and kind. */
  calls: string[]
}

/** The state of a store at a revision. */
export interface StoreCopy {
  objects: ReadonlyMap<string, StoreObject>
  revision: number
}

/** Number of objects on one page of a list. */
const PAGE_SIZE = 3

/**
 * @name servePlatformStore
 * @summary Starts a store on a free loopback port.
 * @param options - The first era; `undefined` for a store that does not state its era.
 * @returns The store.
 *
 * @example
 * await using store = await servePlatformStore()
 * store.put('servers', 'i-1', entry)
 */
export async function servePlatformStore (options: { era?: number | undefined } = { era: 1 }): Promise<PlatformStoreStandin> {
  let { era } = options
  let objects = new Map<string, StoreObject>()
  let events: StoreEvent[] = []
  const watchers = new Set<() => void>()
  const sockets = new Set<Socket>()
  const silentSockets = new WeakSet<Socket>()
  const faults: StoreFaults = {}
  const calls: string[] = []
  let revision = 0

  function recordEvent (kind: string, object: StoreObject, deleted: boolean): void {
    events.push({ kind, revision: object.metadata.revision, object, deleted })
    for (const wake of [...watchers]) wake()
  }

  function put (kind: string, name: string, spec: unknown): StoreObject {
    const key = `${kind}/${name}`
    const created = objects.get(key)?.metadata.created ?? revision + 1
    const object: StoreObject = { metadata: { name, revision: ++revision, created, finalizers: [], deleting: false }, spec, status: null }
    objects.set(key, object)
    recordEvent(kind, object, false)
    return object
  }

  function remove (kind: string, name: string): void {
    const object = objects.get(`${kind}/${name}`)
    if (object === undefined) return
    objects.delete(`${kind}/${name}`)
    recordEvent(kind, { ...object, metadata: { ...object.metadata, revision: ++revision } }, true)
  }

  /** The objects as they were at a revision. */
  function objectsAt (atRevision: number): Map<string, StoreObject> {
    const past = new Map<string, StoreObject>()
    for (const { kind, object, deleted } of events.filter(event => event.revision <= atRevision)) {
      if (deleted) past.delete(`${kind}/${object.metadata.name}`)
      else past.set(`${kind}/${object.metadata.name}`, object)
    }
    return past
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    const [, , kind = '', name] = url.pathname.split('/')
    calls.push(`${request.method} ${kind}`)
    if (!sockets.has(request.socket)) request.socket.once('close', () => sockets.delete(request.socket))
    sockets.add(request.socket)
    if (era !== undefined) response.setHeader('Store-Era', era)
    if (faults.isSilent || silentSockets.has(request.socket)) return
    if (faults.status !== undefined) return sendJson(response, faults.status, {})
    if (request.method === 'GET') return await read(url, kind, name, response)
    const body = await readJson(request) as Partial<StoreObject>
    const result = write(request.method ?? '', kind, name ?? body.metadata?.name ?? '', body, url)
    if (faults.losesNextWriteAnswer) {
      faults.losesNextWriteAnswer = false
      response.destroy()
    } else {
      sendJson(response, result.status, result.body)
    }
  }

  function write (method: string, kind: string, name: string, body: Partial<StoreObject>, url: URL): { status: number, body: unknown } {
    const current = objects.get(`${kind}/${name}`)
    const expected = body.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (method === 'POST') return current === undefined ? { status: 200, body: put(kind, name, body.spec) } : { status: 409, body: current }
    if (current === undefined) return { status: 404, body: {} }
    if (expected !== undefined && expected !== current.metadata.revision) return { status: 409, body: current }
    if (method === 'PUT') return { status: 200, body: put(kind, name, body.spec) }
    remove(kind, name)
    return { status: 200, body: current }
  }

  async function read (url: URL, kind: string, name: string | undefined, response: ServerResponse): Promise<void> {
    if (name !== undefined) {
      const object = objects.get(`${kind}/${name}`)
      return sendJson(response, object === undefined ? 404 : 200, object ?? {})
    }
    if (url.searchParams.has('watch')) return await watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), response)
    const after = url.searchParams.get('after') ?? ''
    const isOld = faults.laterPagesAt !== undefined && after !== '' && url.searchParams.has('stale_read')
    const shown = isOld ? objectsAt(faults.laterPagesAt!) : objects
    const names = [...shown.keys()].filter(key => key.startsWith(`${kind}/`) && key.slice(kind.length + 1) > after).sort()
    const items = names.slice(0, PAGE_SIZE).map(key => shown.get(key))
    sendJson(response, 200, { items, truncated: names.length > PAGE_SIZE, as_of: isOld ? faults.laterPagesAt : revision })
  }

  async function watch (kind: string, afterRevision: number, waitMs: number, response: ServerResponse): Promise<void> {
    if (faults.expiresNextWatch || afterRevision > revision) {
      faults.expiresNextWatch = false
      return sendJson(response, 410, {})
    }
    const findEvents = (): StoreEvent[] => events.filter(event => event.kind === kind && event.revision > afterRevision)
    if (findEvents().length === 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, waitMs)
        const wake = (): void => {
          if (findEvents().length === 0) return
          clearTimeout(timer)
          watchers.delete(wake)
          resolve()
        }
        watchers.add(wake)
        response.once('close', () => {
          clearTimeout(timer)
          watchers.delete(wake)
          resolve()
        })
      })
    }
    if (response.socket !== null && silentSockets.has(response.socket)) return
    sendJson(response, 200, { events: findEvents().map(({ object, deleted }) => ({ object, deleted })), as_of: revision })
  }

  const server = await listen(handle, { address: '127.0.0.1', port: 0 })
  return {
    ...server,
    faults,
    calls,
    put,
    remove,
    silenceConnections () { for (const socket of sockets) silentSockets.add(socket) },
    copy: () => ({ objects: new Map(objects), revision }),
    restore (copy) {
      objects = new Map(copy.objects)
      events = events.filter(event => event.revision <= copy.revision)
      revision = copy.revision
      if (era !== undefined) era++
      for (const socket of sockets) socket.resetAndDestroy()
    },
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose]()
  }
}

async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}
