/**
 * Work in progress on each engine: that of this host, counted, and that of its peers, as they
 * last reported it.
 */
import type { Path } from '../../fleet/types.js'
import type { Runtime } from '../../runtime/types.js'
import { linkKey, LINK_WINDOW_MS } from '../_lib/linkCost.js'
import { isSameStage, type EngineLoad, type RequestSize } from '../choosePath/index.js'

/** Load by target identity, and by link between failure domains. */
export type LoadByTarget = Record<string, EngineLoad>

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

/** Work on all engines. */
export interface Occupancy {
  /**
   * Counts a request on every engine of a path until the returned claim is disposed of. Stages
   * of the path that it had before need no transfer.
   */
  claim: (path: Path, size: RequestSize, options?: { before?: Path }) => Disposable
  /** Load of all hosts together. */
  loadOf: (targetId: string) => EngineLoad
  /** Load of this host's own requests. */
  own: () => LoadByTarget
  /** Replaces what a peer reported. */
  setPeer: (host: string, load: LoadByTarget) => void
  /** Forgets a peer that is gone. */
  removePeer: (host: string) => void
}

/**
 * @name createOccupancy
 * @summary Occupancy of a host without requests.
 * @param options - The runtime.
 * @returns The occupancy.
 *
 * @example
 * using claim = occupancy.claim(path, { promptTokens: 800, outputTokens: 170 })
 */
export function createOccupancy (options: { runtime: Runtime }): Occupancy {
  const { runtime } = options
  const own = new Map<string, EngineLoad>()
  const peers = new Map<string, LoadByTarget>()
  /** Sum over the peers, kept up to date as every choice of a path asks for every engine. */
  const peerSums = new Map<string, EngineLoad>()

  function addPeer (load: LoadByTarget, sign: 1 | -1): void {
    for (const [targetId, { tokenLayers, sequences, firstSequences }] of Object.entries(load)) {
      const sum = peerSums.get(targetId) ?? { tokenLayers: 0, sequences: 0, firstSequences: 0 }
      sum.tokenLayers += sign * tokenLayers
      sum.sequences += sign * sequences
      sum.firstSequences += sign * firstSequences
      if (sum.sequences > 0) peerSums.set(targetId, sum)
      else peerSums.delete(targetId)
    }
  }

  function removePeer (host: string): void {
    addPeer(peers.get(host) ?? {}, -1)
    peers.delete(host)
  }

  function add (path: Path, size: RequestSize, sign: 1 | -1): void {
    path.forEach((stage, index) => {
      const load = own.get(stage.target.id) ?? { tokenLayers: 0, sequences: 0, firstSequences: 0 }
      load.tokenLayers += sign * (size.promptTokens + size.outputTokens) * (stage.to - stage.from)
      load.sequences += sign
      if (index === 0) load.firstSequences += sign
      if (load.sequences > 0) own.set(stage.target.id, load)
      else own.delete(stage.target.id)
    })
  }

  /** Counts a request's tokens on each link that it crosses, for as long as links are averaged over. */
  function addTransfers (path: Path, { promptTokens, outputTokens }: RequestSize, before: Path): void {
    const tokens = promptTokens + outputTokens
    path.slice(1).forEach((stage, index) => {
      const domain = path[index]!.target.failureDomain
      if (domain === stage.target.failureDomain || before.some(kept => isSameStage(kept, stage))) return
      const key = linkKey(domain, stage.target.failureDomain)
      changeTransfer(key, tokens, 1)
      runtime.setTimer(LINK_WINDOW_MS, () => changeTransfer(key, tokens, -1))
    })
  }

  function changeTransfer (key: string, tokens: number, sign: 1 | -1): void {
    const load = own.get(key) ?? { tokenLayers: 0, sequences: 0, firstSequences: 0 }
    load.tokenLayers += sign * tokens
    load.sequences += sign
    if (load.sequences > 0) own.set(key, load)
    else own.delete(key)
  }

  return {
    claim (path, size, { before = [] } = {}) {
      add(path, size, 1)
      addTransfers(path, size, before)
      let isReleased = false
      return {
        [Symbol.dispose] () {
          if (isReleased) return
          isReleased = true
          add(path, size, -1)
        }
      }
    },
    loadOf (targetId) {
      const [ours, theirs] = [own.get(targetId) ?? NO_LOAD, peerSums.get(targetId) ?? NO_LOAD]
      return {
        tokenLayers: ours.tokenLayers + theirs.tokenLayers,
        sequences: ours.sequences + theirs.sequences,
        firstSequences: ours.firstSequences + theirs.firstSequences
      }
    },
    own: () => Object.fromEntries(own),
    setPeer (host, load) {
      removePeer(host)
      peers.set(host, load)
      addPeer(load, 1)
    },
    removePeer
  }
}
