/**
 * Elects the host that assigns layers to engines: the holder of the control lease. During an
 * outage of the store it is the last holder, or else the first by name of the roots of the tree of
 * hosts that hear each other.
 */
import { createLeaseClient } from '../../control/createLeaseClient/index.js'
import type { Peer } from '../../digest/createDigestExchange/types.js'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { GatewayMetrics } from '../createGatewayMetrics/index.js'

/** Identity and dependencies of the election. */
export interface LeaderElectionOptions {
  host: string
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
  /** The other roots of the tree of hosts. */
  otherRoots: () => Peer[]
  /** Whether this host is a root; only roots hear of each other's leases. */
  isRoot: () => boolean
  isDraining: () => boolean
  /** Whether this host reads the store; only such hosts try for the lease, so that the number of calls does not grow with the fleet. */
  isReader: () => boolean
  /** Whether this host or a peer reaches the store. */
  isStoreReachable: () => boolean
}

/** This host's part in the election. */
export interface LeaderElection {
  /** Renews the lease, or acquires it when its holder is no longer heard. */
  step: () => Promise<void>
  /** Fencing token while this host may give orders, otherwise `undefined`. */
  fencing: () => number | undefined
  /** Records a fencing token that a peer reported. */
  observeFencing: (fencing: number) => void
}

/** Duration of the lease, in milliseconds; a successor acts within two to three seconds. */
const LEASE_DURATION_MS = 1_500

/** Time without digests of the holder after which other hosts try to acquire the lease, in milliseconds. */
const HOLDER_TIMEOUT_MS = 500

/** Creates the election for a host that does not hold the lease yet. */
export function createLeaderElection (options: LeaderElectionOptions): LeaderElection {
  const { host, store, runtime, log, metrics, otherRoots, isRoot, isDraining, isReader, isStoreReachable } = options
  const claim = createLeaseClient({ holder: host, durationMs: LEASE_DURATION_MS, store, runtime })
  let lastFencing = 0
  /** Whether this host held the lease when its holder was last known. */
  let wasLastKnownHolder = false

  /** Two hosts may act at once during an outage. That wastes work at worst, since each order names the engine state that it was planned for. */
  function fencingInOutage (): number | undefined {
    const known = otherRoots()
    if (isDraining() || !isRoot() || isStoreReachable()) return undefined
    const isLastHolder = wasLastKnownHolder && !known.some(peer => peer.digest.leaseFencing > lastFencing)
    const isFirstHost = known.every(peer => peer.digest.leaseFencing === 0 && peer.digest.host > host)
    return isLastHolder || isFirstHost ? lastFencing : undefined
  }

  return {
    fencing: () => claim.held()?.fencing ?? fencingInOutage(),
    observeFencing: fencing => { lastFencing = Math.max(lastFencing, fencing) },
    async step () {
      const heldBefore = claim.held()
      const isHolder = heldBefore !== undefined
      const hasHolder = otherRoots().some(peer => peer.digest.leaseFencing > 0 && runtime.monotonicMs() - peer.lastHeardMs < HOLDER_TIMEOUT_MS)
      const mayAcquire = !hasHolder && !isDraining() && isReader()
      // A holder that is no root any more leaves the lease to one that the others hear.
      if (isHolder ? isRoot() || isReader() : mayAcquire) {
        // The store may have lost the lease in a drill; engines refuse a lower number than they have seen.
        const fencingAbove = heldBefore !== undefined && heldBefore.fencing >= lastFencing ? 0 : lastFencing
        await claim.step({ fencingAbove })
      }
      const held = claim.held()
      if (held !== undefined && !isHolder) log.emit('leaseAcquired', { fencing: held.fencing })
      if (held === undefined && isHolder) log.emit('leaseLost', { fencing: lastFencing })
      if (held !== undefined) {
        lastFencing = held.fencing
        wasLastKnownHolder = true
      } else if (isStoreReachable()) {
        wasLastKnownHolder = false
      }
      metrics.isLeaseHolder.set(held === undefined ? 0 : 1)
    }
  }
}
