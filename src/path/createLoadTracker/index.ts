/**
 * Tracks the load of each engine and link: the requests of this host, which it counts itself,
 * and those of its peers, as they last reported them. When all callers reconnect at once after a
 * common fault, hosts would overload the best engines and links before they hear of each other's
 * requests. Each host therefore assumes that its peers have just sent as much as it has itself.
 */
import type { Path } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import { linkKey, LINK_WINDOW_MS } from '../_lib/linkCost.js'
import { isSameStage, type EngineLoad, type RequestSize } from '../choosePath/index.js'

/** Load by target id, and by the key of each link between failure domains. */
export type LoadByTarget = Record<string, EngineLoad>

/** Time until the reports of peers include what they send now, in milliseconds: the interval of digests. */
const PEER_REPORT_DELAY_MS = 100

/** Largest number of peers that are assumed to send as much as this host; as many as receive a digest at once. */
const MAX_ASSUMED_PEERS = 8

/** Time from the start until most peers have reported, in milliseconds; until then their number is unknown. */
const PEER_DISCOVERY_MS = 1_000

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

/** Load of all engines and links. */
export interface LoadTracker {
  /**
   * Counts a request on every engine of a path until the returned claim is disposed of, and its
   * transfers on the links of the path for `LINK_WINDOW_MS`. A stage that is also in
   * `previousPath` needs no transfer.
   */
  claim: (path: Path, size: RequestSize, options?: { previousPath?: Path }) => Disposable
  /** Load of a target or link, by all hosts together. */
  loadOf: (targetId: string) => EngineLoad
  /** Load by the requests of this host alone. */
  own: () => LoadByTarget
  /** Replaces the load that a peer reported. */
  setPeerLoad: (host: string, load: LoadByTarget) => void
  /** Removes the load of a peer that is gone. */
  removePeer: (host: string) => void
}

/**
 * @name createLoadTracker
 * @summary Creates the load tracker of a host, without any requests.
 * @param options - The runtime.
 * @returns The load tracker.
 *
 * @example
 * using claim = loadTracker.claim(path, { promptTokens: 800, outputTokens: 170 })
 */
export function createLoadTracker (options: { runtime: Runtime }): LoadTracker {
  const { runtime } = options
  const startedMs = runtime.monotonicMs()
  const own = new Map<string, EngineLoad>()
  const peers = new Map<string, LoadByTarget>()
  /** Sum over the peers, updated with each report because every choice of a path reads the load of every engine. */
  const peerSums = new Map<string, EngineLoad>()
  /** Load of this host's claims of the last `PEER_REPORT_DELAY_MS`, assumed for each peer as well. */
  const recentClaims = new Map<string, EngineLoad>()

  function removePeer (host: string): void {
    for (const [key, load] of Object.entries(peers.get(host) ?? {})) addLoad(peerSums, key, load, -1)
    peers.delete(host)
  }

  /** Number of peers that are assumed to have sent as much as this host, since callers are spread evenly over the hosts. */
  function countAssumedPeers (): number {
    const isStarting = runtime.monotonicMs() - startedMs < PEER_DISCOVERY_MS
    return isStarting ? MAX_ASSUMED_PEERS : Math.min(peers.size, MAX_ASSUMED_PEERS)
  }

  return {
    claim (path, size, { previousPath = [] } = {}) {
      const stages = listStageLoads(path, size)
      const transfers = listTransferLoads(path, size, previousPath)
      // Targets of plain requests are compared by their number of requests alone; assumed requests would make every second choice go to another target.
      const assumed = [...stages, ...transfers].filter(([, load]) => load.tokenLayers > 0)
      for (const [key, load] of [...stages, ...transfers]) addLoad(own, key, load, 1)
      for (const [key, load] of assumed) addLoad(recentClaims, key, load, 1)
      // A link is counted for the window over which its utilization is averaged, an engine until the claim is released.
      runtime.setTimer(LINK_WINDOW_MS, () => { for (const [key, load] of transfers) addLoad(own, key, load, -1) })
      runtime.setTimer(PEER_REPORT_DELAY_MS, () => { for (const [key, load] of assumed) addLoad(recentClaims, key, load, -1) })
      let isReleased = false
      return {
        [Symbol.dispose] () {
          if (isReleased) return
          isReleased = true
          for (const [key, load] of stages) addLoad(own, key, load, -1)
        }
      }
    },
    loadOf (targetId) {
      const [ours, theirs, assumed] = [own.get(targetId) ?? NO_LOAD, peerSums.get(targetId) ?? NO_LOAD, recentClaims.get(targetId) ?? NO_LOAD]
      const factor = assumed === NO_LOAD ? 0 : countAssumedPeers()
      return {
        tokenLayers: ours.tokenLayers + theirs.tokenLayers + assumed.tokenLayers * factor,
        sequences: ours.sequences + theirs.sequences + assumed.sequences * factor,
        firstSequences: ours.firstSequences + theirs.firstSequences + assumed.firstSequences * factor
      }
    },
    own: () => Object.fromEntries(own),
    setPeerLoad (host, load) {
      const previous = peers.get(host) ?? {}
      peers.set(host, load)
      // Most engines have the same load as in the previous report.
      for (const key in previous) if (!isSameLoad(previous[key], load[key])) addLoad(peerSums, key, previous[key]!, -1)
      for (const key in load) if (!isSameLoad(previous[key], load[key])) addLoad(peerSums, key, load[key]!, 1)
    },
    removePeer
  }
}

function isSameLoad (one: EngineLoad | undefined, other: EngineLoad | undefined): boolean {
  return one?.tokenLayers === other?.tokenLayers && one?.sequences === other?.sequences && one?.firstSequences === other?.firstSequences
}

/** Adds a load to that of a target or link, or subtracts it again. */
function addLoad (loads: Map<string, EngineLoad>, key: string, { tokenLayers, sequences, firstSequences }: EngineLoad, sign: 1 | -1): void {
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
function listStageLoads (path: Path, { promptTokens, outputTokens }: RequestSize): Array<[string, EngineLoad]> {
  return path.map(({ target, from, to }, index) => [target.id, { tokenLayers: (promptTokens + outputTokens) * (to - from), sequences: 1, firstSequences: index === 0 ? 1 : 0 }])
}

/** The load of a request on each link that its path crosses, except for stages of the previous path. */
function listTransferLoads (path: Path, { promptTokens, outputTokens }: RequestSize, previousPath: Path): Array<[string, EngineLoad]> {
  return path.slice(1).flatMap((stage, index) => {
    const domain = path[index]!.target.failureDomain
    if (domain === stage.target.failureDomain || previousPath.some(kept => isSameStage(kept, stage))) return []
    return [[linkKey(domain, stage.target.failureDomain), { tokenLayers: promptTokens + outputTokens, sequences: 1, firstSequences: 0 }]]
  })
}
