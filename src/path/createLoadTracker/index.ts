/**
 * Tracks the load of each engine and link: the requests of this host, which it counts itself,
 * and those of all others, as its neighbors last reported them. The report of a neighbor is the
 * sum over all hosts behind it. When all callers reconnect at once after a
 * common fault, hosts would overload the best engines and links before they hear of each other's
 * requests. Each host therefore assumes that its peers have just sent as much as it has itself.
 */
import type { Path } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import { linkKey, LINK_WINDOW_MS } from '../_lib/linkCost.js'
import { isSameStage, type EngineLoad, type RequestSize } from '../choosePath/index.js'
import { hashLoadKey, type LoadByKey } from '../hashLoadKey/index.js'

/** Time until the reports of neighbors include what other hosts send now, in milliseconds: the interval of digests. */
const PEER_REPORT_DELAY_MS = 100

/** Largest number of hosts that are assumed to send as much as this host. */
const MAX_ASSUMED_PEERS = 8

/** Time from the start until most peers have reported, in milliseconds; until then their number is unknown. */
const PEER_DISCOVERY_MS = 1_000

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

/** A request that is counted until it is disposed of. */
export interface Claim extends Disposable {
  /** Changes the size by which the request counts on the engines of its path. */
  resize: (size: RequestSize) => void
}

/** How a claim is counted. */
export interface ClaimOptions {
  /** Path of the request until now; a stage that is also in it needs no transfer. */
  previousPath?: Path
  /** Whether the request has been counted before, so that nothing follows from it for what other hosts send. */
  isContinued?: boolean
}

/** Load of all engines and links. */
export interface LoadTracker {
  /**
   * Counts a request on every engine of a path until the returned claim is disposed of, and its
   * transfers on the links of the path for `LINK_WINDOW_MS`.
   */
  claim: (path: Path, size: RequestSize, options?: ClaimOptions) => Claim
  /** Load of a target or link, by all hosts together. */
  loadOf: (targetId: string) => EngineLoad
  /** Load by the requests of this host and of all hosts behind the given neighbors. */
  sumWith: (neighbors: Iterable<string>) => LoadByKey
  /** Replaces the load that a neighbor reported; returns whether it differs. */
  setNeighborLoad: (neighbor: string, load: LoadByKey) => boolean
  /** Removes the load of a neighbor. */
  removeNeighbor: (neighbor: string) => void
  /** Replaces what this host publishes under a key of its own, such as a figure of its queues, or withdraws it; hosts sum it like the load of a target. */
  setOwn: (key: string, load: EngineLoad | undefined) => void
  /** Calls the listener when this host's own load changes. */
  onOwnChange: (listener: () => void) => void
}

/**
 * @name createLoadTracker
 * @summary Creates the load tracker of a host, without any requests.
 * @param options - The runtime, and the number of hosts, this one included.
 * @returns The load tracker.
 *
 * @example
 * using claim = loadTracker.claim(path, { promptTokens: 800, outputTokens: 170 })
 */
export function createLoadTracker (options: { runtime: Runtime, hostCount?: () => number }): LoadTracker {
  const { runtime, hostCount = () => neighbors.size + 1 } = options
  const startedMs = runtime.monotonicMs()
  const own = new Map<number, EngineLoad>()
  const neighbors = new Map<string, LoadByKey>()
  /** Sum over the neighbors, updated with each report because every choice of a path reads the load of every engine. */
  const neighborSums = new Map<number, EngineLoad>()
  /** Load of this host's claims of the last `PEER_REPORT_DELAY_MS`, assumed for each other host as well. */
  const recentClaims = new Map<number, EngineLoad>()
  const listeners: Array<() => void> = []

  /** Number of hosts that are assumed to have sent as much as this one, since callers are spread evenly over the hosts. */
  function countAssumedPeers (): number {
    const isStarting = runtime.monotonicMs() - startedMs < PEER_DISCOVERY_MS
    return isStarting ? MAX_ASSUMED_PEERS : Math.min(hostCount() - 1, MAX_ASSUMED_PEERS)
  }

  function addOwn (loads: ReadonlyArray<[number, EngineLoad]>, sign: 1 | -1): void {
    for (const [key, load] of loads) addLoad(own, key, load, sign)
    for (const listener of listeners) listener()
  }

  return {
    claim (path, size, { previousPath = [], isContinued = false } = {}) {
      let stages = listStageLoads(path, size)
      const transfers = listTransferLoads(path, size, previousPath)
      // Targets of plain requests are compared by their number of requests alone; assumed requests would make every second choice go to another target.
      const assumed = isContinued ? [] : [...stages, ...transfers].filter(([, load]) => load.tokenLayers > 0)
      addOwn([...stages, ...transfers], 1)
      for (const [key, load] of assumed) addLoad(recentClaims, key, load, 1)
      // A link is counted for the window over which its utilization is averaged, an engine until the claim is released.
      runtime.setTimer(LINK_WINDOW_MS, () => addOwn(transfers, -1))
      runtime.setTimer(PEER_REPORT_DELAY_MS, () => { for (const [key, load] of assumed) addLoad(recentClaims, key, load, -1) })
      let isReleased = false
      return {
        resize (newSize) {
          if (isReleased) return
          const resized = listStageLoads(path, newSize)
          for (const [key, load] of stages) addLoad(own, key, load, -1)
          stages = resized
          addOwn(stages, 1)
        },
        [Symbol.dispose] () {
          if (isReleased) return
          isReleased = true
          addOwn(stages, -1)
        }
      }
    },
    loadOf (targetId) {
      const key = hashLoadKey(targetId)
      const [ours, theirs, assumed] = [own.get(key) ?? NO_LOAD, neighborSums.get(key) ?? NO_LOAD, recentClaims.get(key) ?? NO_LOAD]
      const factor = assumed === NO_LOAD ? 0 : countAssumedPeers()
      return {
        tokenLayers: ours.tokenLayers + theirs.tokenLayers + assumed.tokenLayers * factor,
        sequences: ours.sequences + theirs.sequences + assumed.sequences * factor,
        firstSequences: ours.firstSequences + theirs.firstSequences + assumed.firstSequences * factor
      }
    },
    sumWith (included) {
      const sum = new Map<number, EngineLoad>()
      for (const [key, load] of own) addLoad(sum, key, load, 1)
      for (const neighbor of included) for (const [key, load] of neighbors.get(neighbor) ?? []) addLoad(sum, key, load, 1)
      return sum
    },
    setNeighborLoad (neighbor, load) {
      const previous = neighbors.get(neighbor) ?? new Map<number, EngineLoad>()
      neighbors.set(neighbor, load)
      let isChanged = false
      // Most engines have the same load as in the previous report.
      for (const [key, before] of previous) {
        if (isSameLoad(before, load.get(key))) continue
        addLoad(neighborSums, key, before, -1)
        isChanged = true
      }
      for (const [key, after] of load) {
        if (isSameLoad(previous.get(key), after)) continue
        addLoad(neighborSums, key, after, 1)
        isChanged = true
      }
      return isChanged
    },
    removeNeighbor (neighbor) {
      for (const [key, load] of neighbors.get(neighbor) ?? []) addLoad(neighborSums, key, load, -1)
      neighbors.delete(neighbor)
    },
    setOwn (key, load) {
      const hash = hashLoadKey(key)
      // Copied, as entries are changed in place.
      if (load === undefined) own.delete(hash)
      else own.set(hash, { ...load })
    },
    onOwnChange (listener) {
      listeners.push(listener)
    }
  }
}

function isSameLoad (one: EngineLoad | undefined, other: EngineLoad | undefined): boolean {
  return one?.tokenLayers === other?.tokenLayers && one?.sequences === other?.sequences && one?.firstSequences === other?.firstSequences
}

/** Adds a load to that of a target or link, or subtracts it again. */
function addLoad (loads: Map<number, EngineLoad>, key: number, { tokenLayers, sequences, firstSequences }: EngineLoad, sign: 1 | -1): void {
  const load = loads.get(key)
  if (load === undefined) {
    if (sign * sequences > 0) loads.set(key, { tokenLayers: sign * tokenLayers, sequences: sign * sequences, firstSequences: sign * firstSequences })
    return
  }
  load.tokenLayers += sign * tokenLayers
  load.sequences += sign * sequences
  load.firstSequences += sign * firstSequences
  if (load.sequences <= 0) loads.delete(key)
}

/** The load of a request on each engine of its path. */
function listStageLoads (path: Path, { promptTokens, outputTokens }: RequestSize): Array<[number, EngineLoad]> {
  return path.map(({ target, from, to }, index) => [hashLoadKey(target.id), { tokenLayers: (promptTokens + outputTokens) * (to - from), sequences: 1, firstSequences: index === 0 ? 1 : 0 }])
}

/** The load of a request on each link that its path crosses, except for stages of the previous path. */
function listTransferLoads (path: Path, { promptTokens, outputTokens }: RequestSize, previousPath: Path): Array<[number, EngineLoad]> {
  return path.slice(1).flatMap((stage, index) => {
    const domain = path[index]!.target.failureDomain
    if (domain === stage.target.failureDomain || previousPath.some(kept => isSameStage(kept, stage))) return []
    return [[hashLoadKey(linkKey(domain, stage.target.failureDomain)), { tokenLayers: promptTokens + outputTokens, sequences: 1, firstSequences: 0 }]]
  })
}
