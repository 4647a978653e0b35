/**
 * Work in progress on each engine: that of this host, counted, and that of its peers, as they
 * last reported it. Answers the load pattern in which all callers come back at the same moment
 * after a common fault: the hosts would fill the best engines and links many times over before they hear of each
 * other, so what this host has just sent is taken to be sent by its peers as well.
 */
import type { Path } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import { linkKey, LINK_WINDOW_MS } from '../_lib/linkCost.js'
import { isSameStage, type EngineLoad, type RequestSize } from '../choosePath/index.js'

/** Load by target identity, and by link between failure domains. */
export type LoadByTarget = Record<string, EngineLoad>

/** Time after which peers know of a claim, in milliseconds: the interval of digests. */
const UNSEEN_MS = 100

/** Peers that are assumed to do as this host does at most; as many as get a digest at once. */
const MOST_GUESSED_PEERS = 8

/** Time from the start within which most peers are heard, in milliseconds; until then there may be any number of them. */
const PEERS_HEARD_MS = 1_000

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

/** Work on all engines. */
export interface LoadTracker {
  /**
   * Counts a request on every engine of a path until the returned claim is disposed of. Stages
   * of the path that it had before need no transfer.
   */
  claim: (path: Path, size: RequestSize, options?: { previousPath?: Path }) => Disposable
  /** Load of all hosts together. */
  loadOf: (targetId: string) => EngineLoad
  /** Load of this host's own requests. */
  own: () => LoadByTarget
  /** Replaces what a peer reported. */
  setPeerLoad: (host: string, load: LoadByTarget) => void
  /** Forgets a peer that is gone. */
  removePeer: (host: string) => void
}

/**
 * @name createLoadTracker
 * @summary A load tracker for one host, without requests at first.
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
  /** Sum over the peers, kept up to date as every choice of a path asks for every engine. */
  const peerSums = new Map<string, EngineLoad>()
  /** Own claims of which peers do not know yet. */
  const unseen = new Map<string, EngineLoad>()

  function removePeer (host: string): void {
    for (const [key, load] of Object.entries(peers.get(host) ?? {})) change(peerSums, key, load, -1)
    peers.delete(host)
  }

  /** Peers that may have done as this host did: callers come to all hosts alike. */
  function countGuessedPeers (): number {
    const isNew = runtime.monotonicMs() - startedMs < PEERS_HEARD_MS
    return isNew ? MOST_GUESSED_PEERS : Math.min(peers.size, MOST_GUESSED_PEERS)
  }

  return {
    claim (path, size, { previousPath = [] } = {}) {
      const stages = describeStages(path, size)
      const transfers = describeTransfers(path, size, previousPath)
      // Plain targets are compared by their requests alone, where a guess would send every other one elsewhere.
      const guessed = [...stages, ...transfers].filter(([, load]) => load.tokenLayers > 0)
      for (const [key, load] of [...stages, ...transfers]) change(own, key, load, 1)
      for (const [key, load] of guessed) change(unseen, key, load, 1)
      // Links count for as long as their use is averaged over, engines until the claim is released.
      runtime.setTimer(LINK_WINDOW_MS, () => { for (const [key, load] of transfers) change(own, key, load, -1) })
      runtime.setTimer(UNSEEN_MS, () => { for (const [key, load] of guessed) change(unseen, key, load, -1) })
      let isReleased = false
      return {
        [Symbol.dispose] () {
          if (isReleased) return
          isReleased = true
          for (const [key, load] of stages) change(own, key, load, -1)
        }
      }
    },
    loadOf (targetId) {
      const [ours, theirs, guessed] = [own.get(targetId) ?? NO_LOAD, peerSums.get(targetId) ?? NO_LOAD, unseen.get(targetId) ?? NO_LOAD]
      const factor = guessed === NO_LOAD ? 0 : countGuessedPeers()
      return {
        tokenLayers: ours.tokenLayers + theirs.tokenLayers + guessed.tokenLayers * factor,
        sequences: ours.sequences + theirs.sequences + guessed.sequences * factor,
        firstSequences: ours.firstSequences + theirs.firstSequences + guessed.firstSequences * factor
      }
    },
    own: () => Object.fromEntries(own),
    setPeerLoad (host, load) {
      removePeer(host)
      peers.set(host, load)
      for (const [key, part] of Object.entries(load)) change(peerSums, key, part, 1)
    },
    removePeer
  }
}

/** Adds a load to that of a target or link, or takes it off again. */
function change (loads: Map<string, EngineLoad>, key: string, { tokenLayers, sequences, firstSequences }: EngineLoad, sign: 1 | -1): void {
  const load = loads.get(key) ?? { ...NO_LOAD }
  load.tokenLayers += sign * tokenLayers
  load.sequences += sign * sequences
  load.firstSequences += sign * firstSequences
  if (load.sequences > 0) loads.set(key, load)
  else loads.delete(key)
}

function describeStages (path: Path, { promptTokens, outputTokens }: RequestSize): Array<[string, EngineLoad]> {
  return path.map(({ target, from, to }, index) => [target.id, { tokenLayers: (promptTokens + outputTokens) * (to - from), sequences: 1, firstSequences: index === 0 ? 1 : 0 }])
}

/** A request's tokens on each link that it crosses, but for stages that it had before. */
function describeTransfers (path: Path, { promptTokens, outputTokens }: RequestSize, previousPath: Path): Array<[string, EngineLoad]> {
  return path.slice(1).flatMap((stage, index) => {
    const domain = path[index]!.target.failureDomain
    if (domain === stage.target.failureDomain || previousPath.some(kept => isSameStage(kept, stage))) return []
    return [[linkKey(domain, stage.target.failureDomain), { tokenLayers: promptTokens + outputTokens, sequences: 1, firstSequences: 0 }]]
  })
}
