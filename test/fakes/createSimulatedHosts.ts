/**
 * Hosts that exchange digests over a simulated network, in one thread and without promises, so that
 * seconds of hundreds of hosts pass quickly.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createCrashEvidence, type CrashEvidence } from '../../src/crash/createCrashEvidence/index.js'
import { createDigestExchange } from '../../src/digest/createDigestExchange/index.js'
import type { DigestExchange } from '../../src/digest/createDigestExchange/types.js'
import type { HostState, Notices } from '../../src/digest/types.js'
import { createLoadTracker, type LoadTracker } from '../../src/path/createLoadTracker/index.js'
import type { Runtime } from '../../src/runtime/types.js'
import { createTestLog } from './createTestLog.js'

const DRAW_RANGE = 2 ** 32

/** One-way delay of a datagram, in milliseconds. */
const LINK_DELAY_MS = 0.5

/** Hosts start within this time, in milliseconds. */
const START_SPREAD_MS = 300

/** A simulated host. */
export interface SimulatedHost {
  ip: string
  failureDomain: string
  exchange: DigestExchange
  load: LoadTracker
  log: ReturnType<typeof createTestLog>
  crashEvidence: CrashEvidence
  /** State that its digests carry; may be changed. */
  state: HostState
  ownNotices: Notices
  receivedNotices: Notices[]
  fetched: string[]
  /** Reads the state of another host; records its address only, unless replaced. */
  fetchState: (address: string) => Promise<void>
  runtime: Runtime
  /** Whether it gets changes without digests. */
  isFollowing: boolean
  /** Datagrams and bytes that it sent. */
  sent: { datagrams: number, bytes: number }
}

interface Event { atMs: number, order: number, run: () => void }

/** Binary heap of events by time. */
function createEventQueue () {
  const heap: Event[] = []
  const isEarlier = (a: Event, b: Event): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
  return {
    peek: (): Event | undefined => heap[0],
    push (event: Event): void {
      let index = heap.push(event) - 1
      while (index > 0) {
        const above = (index - 1) >> 1
        if (!isEarlier(heap[index]!, heap[above]!)) break
        ;[heap[index], heap[above]] = [heap[above]!, heap[index]!]
        index = above
      }
    },
    pop (): Event {
      const first = heap[0]!
      const last = heap.pop()!
      if (heap.length === 0) return first
      heap[0] = last
      for (let index = 0; ;) {
        let least = index
        for (const child of [2 * index + 1, 2 * index + 2]) if (child < heap.length && isEarlier(heap[child]!, heap[least]!)) least = child
        if (least === index) return first
        ;[heap[index], heap[least]] = [heap[least]!, heap[index]!]
        index = least
      }
    }
  }
}

/** Creates a network without hosts; `isDelivered` may lose datagrams. */
export function createSimulatedHosts (options: { seed?: number, isDelivered?: (from: string, to: string) => boolean } = {}) {
  const { seed = 1, isDelivered = () => true } = options
  const generator = xoroshiro128plus(seed)
  const queue = createEventQueue()
  const listeners = new Map<string, (ip: string, bytes: Buffer) => void>()
  const running = new Map<string, AbortController>()
  const hosts: SimulatedHost[] = []
  let nowMs = 0
  let order = 0

  const schedule = (delayMs: number, run: () => void): void => queue.push({ atMs: nowMs + delayMs, order: order++, run })
  const random = (): number => (generator.next() >>> 0) / DRAW_RANGE

  function createRuntime (controller: AbortController): Runtime {
    return {
      nowMs: () => 1_000_000 + nowMs,
      monotonicMs: () => nowMs,
      random,
      setTimer (delayMs, run) {
        let isCancelled = false
        schedule(delayMs, () => { if (!isCancelled && !controller.signal.aborted) run() })
        return { [Symbol.dispose] () { isCancelled = true } }
      }
    }
  }

  /** Starts a host now; `seedIps` are the addresses that it is told. */
  function startHost (ip: string, failureDomain: string, seedIps: readonly string[]): SimulatedHost {
    const controller = new AbortController()
    const runtime = createRuntime(controller)
    running.set(ip, controller)
    const sent = { datagrams: 0, bytes: 0 }
    const state: HostState = { host: `host ${ip}`, failureDomain, startedMs: Math.round(nowMs), statePort: 80, configurationVersion: 1, targetsRevision: 1, targetsFingerprint: 'f', isStoreConnected: false, leaseFencing: 0, isImpaired: false }
    const ownNotices: Notices = { suspicions: [], seenLayers: [], limits: [], leaving: [] }
    const receivedNotices: Notices[] = []
    const fetched: string[] = []
    const log = createTestLog()
    const crashEvidence = createCrashEvidence({ runtime, log })
    const load: LoadTracker = createLoadTracker({ runtime, hostCount: () => exchange.hostCount() })
    const exchange: DigestExchange = createDigestExchange({
      socket: {
        send (to, bytes) {
          sent.datagrams++
          sent.bytes += bytes.length
          if (isDelivered(ip, to)) schedule(LINK_DELAY_MS, () => { if (running.get(to)?.signal.aborted === false) listeners.get(to)?.(ip, bytes) })
        },
        onMessage: listener => { listeners.set(ip, listener) },
        async [Symbol.asyncDispose] () {}
      },
      ownIp: ip,
      ownDomain: failureDomain,
      runtime,
      log,
      signal: controller.signal,
      load,
      buildState: () => state,
      ownNotices: () => ownNotices,
      onNotices: notices => { receivedNotices.push(notices) },
      crashEvidence,
      isFollowingStore: () => host.isFollowing,
      onDigest: () => {},
      fetchState: address => host.fetchState(address)
    })
    seedIps.forEach(exchange.addAddress)
    const host: SimulatedHost = { ip, failureDomain, exchange, load, log, state, ownNotices, receivedNotices, fetched, crashEvidence, fetchState: async address => { fetched.push(address) }, runtime, sent, isFollowing: true }
    hosts.push(host)
    return host
  }

  return {
    hosts,
    random,
    nowMs: () => nowMs,
    /** Delivers a datagram at once. */
    deliver: (to: string, from: string, bytes: Buffer) => listeners.get(to)?.(from, bytes),
    startHost,
    schedule,
    /** Starts hosts of several failure domains at nearly the same time, each of which is told the same three addresses. */
    startAll (count: number, domains: readonly string[]) {
      const ips = Array.from({ length: count }, (_, index) => `10.${1 + index % domains.length}.0.${10 + Math.floor(index / domains.length)}`)
      for (const [index, ip] of ips.entries()) schedule(random() * START_SPREAD_MS, () => startHost(ip, domains[index % domains.length]!, ips.slice(0, 3)))
    },
    stopHost (host: SimulatedHost) {
      running.get(host.ip)?.abort()
      hosts.splice(hosts.indexOf(host), 1)
    },
    advance (byMs: number) {
      const untilMs = nowMs + byMs
      for (let event = queue.peek(); event !== undefined && event.atMs <= untilMs; event = queue.peek()) {
        queue.pop()
        nowMs = event.atMs
        event.run()
      }
      nowMs = untilMs
    }
  }
}
