/**
 * Reads the state of a host that knows more than this one, one at a time. A host that follows the
 * store by other ways waits first, since these bring changes sooner unless they have gone silent.
 */
import { comparePositions, type StorePosition } from '../../fleet/comparePositions/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { HostState } from '../types.js'

/** Options of `createStateFetcher`. */
export interface StateFetcherOptions {
  runtime: Runtime
  ownState: () => HostState
  /** Whether changes reach this host by other ways. */
  isFollowingStore: () => boolean
  /** Reads the state at an address; resolves when it is applied or the read has failed. */
  fetchState: (address: string) => Promise<void>
}

/** Compares the state of other hosts with the own one. */
export interface StateFetcher {
  /** Reads the state of a host if it has been ahead of this one for long enough. */
  check: (ip: string, state: HostState) => void
}

/** How long a host must be ahead before its state is read, in milliseconds; a working watch or poll is faster. */
const AHEAD_GRACE_MS = 300

const positionOf = ({ targetsEra, targetsRevision }: HostState): StorePosition => ({ era: targetsEra, revision: targetsRevision })

/** Creates a fetcher that has read nothing. */
export function createStateFetcher (options: StateFetcherOptions): StateFetcher {
  const { runtime, ownState, isFollowingStore, fetchState } = options
  /** Since when each host has been ahead. */
  const aheadSinceMs = new Map<string, number>()
  let isFetching = false

  return {
    check (ip, state) {
      const own = ownState()
      const knowsOtherTargets = comparePositions(positionOf(state), positionOf(own)) > 0 && state.targetsFingerprint !== own.targetsFingerprint
      if (state.configurationVersion <= own.configurationVersion && !knowsOtherTargets) {
        aheadSinceMs.delete(ip)
        return
      }
      const nowMs = runtime.monotonicMs()
      const sinceMs = aheadSinceMs.get(ip) ?? nowMs
      aheadSinceMs.set(ip, sinceMs)
      const canWait = own.configurationVersion >= 0 && own.targetsRevision >= 0 && isFollowingStore()
      if (isFetching || (canWait && nowMs - sinceMs < AHEAD_GRACE_MS)) return
      isFetching = true
      fetchState(`${ip}:${state.statePort}`).finally(() => { isFetching = false })
    }
  }
}
