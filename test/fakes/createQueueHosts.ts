/**
 * Queues of several hosts that share a pool of places and hear of each other's figures with a delay.
 */
import type { EngineLoad } from '../../src/path/choosePath/index.js'
import { createDispatcher, type Dispatcher, type PlaceOutcome, type PlaceRequest } from '../../src/waiting/createDispatcher/index.js'
import { createManualRuntime } from './createManualRuntime.js'

/** Delay of the figures of other hosts, in milliseconds. */
const HEARD_AFTER_MS = 100

export interface QueueHostsOptions {
  hostCount: number
  /** Places of the pool, and mean time for which each is held. */
  places: number
  holdMs: number
  /** Whether hosts hear of each other; all do by default. */
  isHeard?: boolean
}

/** Outcome of a request with its facts. */
export interface HostOutcome { host: number, rank: number, account: string, atMs: number, outcome: PlaceOutcome<object> }

/** Creates the hosts, with all places free. */
export function createQueueHosts ({ hostCount, places, holdMs, isHeard = true }: QueueHostsOptions) {
  const runtime = createManualRuntime()
  const outcomes: HostOutcome[] = []
  let free = places
  const alive = new Set(Array.from({ length: hostCount }, (_, host) => host))
  const own = Array.from({ length: hostCount }, () => new Map<string, EngineLoad>())
  let heard: Array<Map<string, EngineLoad>> = own.map(() => new Map())

  function sumOf (host: number, key: string): EngineLoad {
    const sum = { tokenLayers: 0, sequences: 0, firstSequences: 0 }
    for (const other of alive) {
      const load = other === host ? own[host]!.get(key) : isHeard ? heard[other]!.get(key) : undefined
      sum.tokenLayers += load?.tokenLayers ?? 0
      sum.sequences += load?.sequences ?? 0
      sum.firstSequences += load?.firstSequences ?? 0
    }
    return sum
  }

  function exchange (): void {
    heard = own.map(figures => new Map(figures))
    runtime.setTimer(HEARD_AFTER_MS, exchange)
  }
  exchange()

  const dispatchers: Array<Dispatcher<object>> = own.map((figures, host) => createDispatcher<object>({
    runtime,
    sharing: {
      service: 'chat',
      publish (key, load) {
        if (load === undefined) figures.delete(key)
        else figures.set(key, load)
      },
      sumOf: key => sumOf(host, key),
      ranks: () => [0, 1, 2],
      ageMs: () => HEARD_AFTER_MS,
      hostCount: () => isHeard ? alive.size : 1,
      isCutOff: () => !isHeard,
      places: () => ({ freePlaces: 0, totalPlaces: places })
    }
  }))

  function tryReservePlace (): object | undefined {
    if (free === 0) return undefined
    free--
    runtime.setTimer(holdMs * (0.5 + runtime.random()), () => { free++ })
    return {}
  }

  return {
    runtime,
    outcomes,
    dispatchers,
    /** Ends a host, with what it published. */
    stop (host: number) {
      alive.delete(host)
    },
    isAlive: (host: number) => alive.has(host),
    /** Sends a request to a host. */
    send (host: number, request: Partial<PlaceRequest<object>> = {}): void {
      const { rank = 1, account = 'a' } = request
      dispatchers[host]!.request({ rank, account, hasBegun: false, maxWaitMs: 1_500, onTimeMs: 350, tryReservePlace, isPlaceExpected: () => true, signal: new AbortController().signal, ...request })
        .then(outcome => outcomes.push({ host, rank, account, atMs: runtime.monotonicMs(), outcome }))
    }
  }
}
