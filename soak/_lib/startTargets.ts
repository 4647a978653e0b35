/**
 * Targets of the soak: engines that hold layers and answer streams, and a plain service. They
 * keep a ledger of what reached them and what they ran, which the checks compare with what
 * callers saw.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { PlatformStoreStandin } from '../../standin/platform/servePlatformStore/index.js'
import { startProxy, type Proxy } from './startProxy.js'

/** What became of one request at one target. */
export interface LedgerEntry {
  requestId: string
  targetId: string
  service: string
  atMs: number
  /** Whether the target began to work on it. */
  hasRun: boolean
}

/** A target under the control of the soak. */
export interface SoakTarget extends AsyncDisposable {
  id: () => string
  proxy: Proxy
  /** Goes away without a word: resets or silence, and its entry lapses. */
  crash: (fault: 'reset' | 'silence') => void
  /** Comes back as a new start, empty; the identity may be the old one. */
  restart: (options: { keepsIdentity: boolean }) => void
  /** Announces that it leaves; work under way may end. */
  leave: () => void
  /** Monotonic time of its notice, while it leaves. */
  leavingSinceMs: () => number | undefined
  isUp: () => boolean
}

/** All targets with their ledger. */
export interface SoakTargets extends AsyncDisposable {
  targets: SoakTarget[]
  ledger: LedgerEntry[]
}

/** Interval at which targets renew their entries, and time after which an entry that is not renewed lapses, in milliseconds. */
const RENEW_MS = 400
const LAPSE_MS = 1_600

/** Time of one load of layers, of a plain request's work and between two events, in milliseconds. */
const LOAD_MS = 300
const WORK_MS = 30
const EVENT_MS = 12

/** Longest answer of a stream, in events. */
const MOST_EVENTS = 40

/** Shares of plain requests that fail, and whose answer breaks off after the work. */
const FAILED_SHARE = 0.03
const BROKEN_SHARE = 0.02

interface TargetState {
  id: string
  bornMs: number
  layers: { from: number, to: number } | undefined
  orders: number
  isBusy: boolean
  isUp: boolean
  leavingSinceMs: number | undefined
  renewals: number
  /** Current path of each stream by its request. */
  streams: Map<string, string>
}

/** Events of a request's whole answer; the same at every engine. */
export function countEvents (requestId: string): number {
  return 5 + [...requestId].reduce((sum, character) => sum + character.charCodeAt(0), 0) % MOST_EVENTS
}

/** Starts targets that register in the store: engines of one kind in each domain, and plain ones. */
export async function startTargets (store: PlatformStoreStandin, options: { domains: readonly string[], enginesPerDomain: number, random: () => number }): Promise<SoakTargets> {
  const { domains, enginesPerDomain, random } = options
  const ledger: LedgerEntry[] = []
  const byAddress = new Map<string, TargetState>()
  let identities = 0
  const descriptions = domains.flatMap(domain => [
    ...Array.from({ length: enginesPerDomain }, () => ({ domain, service: 'model' })),
    { domain, service: 'orders' }
  ])
  const targets = await Promise.all(descriptions.map(({ domain, service }) => startTarget(domain, service)))

  async function startTarget (domain: string, service: string): Promise<SoakTarget> {
    const state: TargetState = { id: '', bornMs: 0, layers: undefined, orders: 0, isBusy: false, isUp: true, leavingSinceMs: undefined, renewals: 0, streams: new Map() }
    const server = http.createServer((request, response) => { serve(request, response) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const proxy = await startProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    byAddress.set(proxy.address, state)
    let lapse: NodeJS.Timeout | undefined
    const renewal = setInterval(renew, RENEW_MS)
    begin(false)

    function begin (keepsIdentity: boolean): void {
      if (!keepsIdentity || state.id === '') state.id = `${service}-${++identities}`
      Object.assign(state, { bornMs: Date.now(), layers: undefined, orders: 0, isBusy: false, isUp: true, leavingSinceMs: undefined, streams: new Map() })
      clearTimeout(lapse)
      renew()
    }

    function renew (): void {
      if (!state.isUp) return
      store.put('servers', state.id, {
        service,
        address: proxy.address,
        zone: domain,
        version: 'v1',
        slots: 32,
        state: state.leavingSinceMs === undefined ? 'ready' : 'draining',
        cold_remaining_ms: 0,
        sequence: ++state.renewals,
        born: state.bornMs,
        ...(service === 'model' ? { kind: 'small', layers: state.layers ?? { from: 0, to: 0 } } : {})
      })
    }

    async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
      response.on('error', () => { /* The caller's side is checked, not this one. */ })
      const body = await readText(request)
      if (!state.isUp) {
        response.destroy()
        return
      }
      if (request.url === '/report') return answerJson(response, 200, { born: state.bornMs, sequence: state.orders, busy: state.isBusy, layers: state.layers ?? { from: 0, to: 0 } })
      if (request.url === '/order') return takeOrder(request, response, JSON.parse(body))
      const requestId = String(request.headers['request-id'])
      const note = (hasRun: boolean): void => { ledger.push({ requestId, targetId: state.id, service, atMs: performance.now(), hasRun }) }
      const refuse = (status: number, faulty?: string): void => {
        note(false)
        response.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', ...(faulty === undefined ? {} : { 'At-Server': faulty }), 'Content-Length': 0 }).end()
      }
      if (request.headers['expect-instance'] !== state.id) return refuse(421)
      if (state.leavingSinceMs !== undefined && service === 'model') return refuse(503)
      if (service !== 'model') {
        note(true)
        setTimeout(() => answerPlain(requestId, response), WORK_MS)
        return
      }
      const path = String(request.headers['hop-count'])
      const faulty = findFaultyStage(path)
      if (faulty !== undefined) return refuse(503, faulty)
      note(true)
      state.streams.set(requestId, path)
      response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': 's', 'Content-Type': 'text/event-stream' })
      sendEvents(requestId, Number(request.headers['last-event-id'] ?? 0), response)
    }

    function answerPlain (requestId: string, response: ServerResponse): void {
      const draw = random()
      if (!state.isUp || draw < BROKEN_SHARE) {
        response.destroy()
        return
      }
      const status = draw < BROKEN_SHARE + FAILED_SHARE ? 500 : 200
      response.writeHead(status, { 'Request-Id': requestId, 'Server-Seal': 's', 'Content-Type': 'text/plain' }).end(`answer to ${requestId}`)
    }

    /** Sends events while every stage of the path is up; a lost stage stalls the stream until it gets another path. */
    function sendEvents (requestId: string, lastEventId: number, response: ServerResponse): void {
      const born = state.bornMs
      let next = lastEventId + 1
      const timer = setInterval(() => {
        const path = state.streams.get(requestId)
        if (!state.isUp || state.bornMs !== born || path === undefined || response.destroyed) {
          clearInterval(timer)
          response.destroy()
          return
        }
        if (findFaultyStage(path) !== undefined) return
        if (next <= countEvents(requestId)) {
          response.write(`id: ${next}\ndata: piece ${next++}\n\n`)
          return
        }
        clearInterval(timer)
        state.streams.delete(requestId)
        response.end()
      }, EVENT_MS)
    }

    function takeOrder (request: IncomingMessage, response: ServerResponse, order: { operation: string, from?: number, to?: number, expect?: number, id?: string, path?: string }): void {
      if (request.headers['expect-instance'] !== state.id) return answerJson(response, 421, {})
      if (order.operation === 'repath') {
        const faulty = findFaultyStage(order.path ?? '')
        if (faulty !== undefined) {
          response.writeHead(503, { 'At-Server': faulty, 'Content-Length': 0 }).end()
          return
        }
        if (!state.streams.has(order.id ?? '')) return answerJson(response, 404, {})
        state.streams.set(order.id!, order.path!)
        return answerJson(response, 200, {})
      }
      if (order.expect !== state.orders || state.isBusy || state.streams.size > 0) return answerJson(response, 409, {})
      state.orders++
      state.isBusy = true
      state.layers = undefined
      const born = state.bornMs
      setTimeout(() => {
        if (state.bornMs !== born || !state.isUp) return
        state.isBusy = false
        state.layers = { from: order.from!, to: order.to! }
        renew()
      }, LOAD_MS)
      answerJson(response, 202, {})
    }

    return {
      id: () => state.id,
      proxy,
      isUp: () => state.isUp,
      leavingSinceMs: () => state.leavingSinceMs,
      crash (fault) {
        state.isUp = false
        state.streams.clear()
        proxy.setFault(fault === 'reset' ? { kind: 'reset' } : { kind: 'silence', direction: 'both' })
        const { id } = state
        lapse = setTimeout(() => store.remove('servers', id), LAPSE_MS)
      },
      restart ({ keepsIdentity }) {
        proxy.setFault({ kind: 'none' })
        if (!keepsIdentity) store.remove('servers', state.id)
        begin(keepsIdentity)
      },
      leave () {
        state.leavingSinceMs = performance.now()
        renew()
      },
      async [Symbol.asyncDispose] () {
        clearInterval(renewal)
        clearTimeout(lapse)
        await proxy[Symbol.asyncDispose]()
        server.closeAllConnections()
        await new Promise(resolve => { server.close(resolve) })
      }
    }
  }

  /** Address of the first stage of a path that is not up with those layers. */
  function findFaultyStage (path: string): string | undefined {
    return path.split(',').find(stage => {
      const [, address, from, to] = /^(.+)=(\d+)-(\d+)$/.exec(stage) ?? []
      const holder = byAddress.get(address ?? '')
      return holder?.isUp !== true || holder.layers === undefined || holder.layers.from > Number(from) || holder.layers.to < Number(to)
    })?.split('=')[0]
  }

  return {
    targets,
    ledger,
    async [Symbol.asyncDispose] () { await Promise.all(targets.map(target => target[Symbol.asyncDispose]())) }
  }
}

function answerJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}

async function readText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    // A caller that goes away midway gets no answer; `serve` finds its connection destroyed.
    request.destroy()
  }
  return Buffer.concat(chunks).toString()
}
