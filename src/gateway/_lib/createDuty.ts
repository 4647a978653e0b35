/**
 * Which host places layers: the holder of the control lease, and during an outage of the store
 * its last holder or else the first of the hosts that hear each other.
 */
import { createLeaseClient } from '../../control/createLeaseClient/index.js'
import type { Peer } from '../../digest/createDigestExchange/index.js'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { GatewayMetrics } from '../createGatewayMetrics/index.js'

/** What the duty depends on. */
export interface DutyOptions {
  host: string
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
  peers: () => Peer[]
  isDraining: () => boolean
  /** Whether this host is one of those that read the store; only they look at the lease, so that its calls do not grow with the hosts. */
  isReader: () => boolean
  /** Whether this host or a peer reaches the store. */
  isStoreUp: () => boolean
}

/** This host's part in the duty. */
export interface Duty {
  /** Renews the lease, or takes it where its holder has fallen silent. */
  step: () => Promise<void>
  /** Fencing number while this host may give orders. */
  fencing: () => number | undefined
  /** Takes note of a fencing number that a peer told. */
  learn: (fencing: number) => void
}

/** Duration of the lease, in milliseconds; a successor acts within two to three seconds. */
const LEASE_MS = 1_500

/** Silence of the holder's digests after which other hosts look at the lease, in milliseconds. */
const HOLDER_SILENT_MS = 500

/** The duty of a host that holds nothing yet. */
export function createDuty (options: DutyOptions): Duty {
  const { host, store, runtime, log, metrics, peers, isDraining, isReader, isStoreUp } = options
  const claim = createLeaseClient({ holder: host, durationMs: LEASE_MS, store, runtime })
  let lastFencing = 0
  /** Whether this host held the lease when it was last known who does. */
  let wasHolder = false

  /** Two hosts that act at once in an outage waste effort at worst: each order names the engine's state that it was planned for. */
  function fencingInOutage (): number | undefined {
    const known = peers()
    if (isDraining() || isStoreUp()) return undefined
    const isLastHolder = wasHolder && !known.some(peer => peer.digest.leaseFencing > lastFencing)
    const isFirst = known.every(peer => peer.digest.leaseFencing === 0 && peer.digest.host > host)
    return isLastHolder || isFirst ? lastFencing : undefined
  }

  return {
    fencing: () => claim.held()?.fencing ?? fencingInOutage(),
    learn: fencing => { lastFencing = Math.max(lastFencing, fencing) },
    async step () {
      const isHolder = claim.held() !== undefined
      const hasHolder = peers().some(peer => peer.digest.leaseFencing > 0 && runtime.monotonicMs() - peer.heardMs < HOLDER_SILENT_MS)
      if (isHolder || (!hasHolder && !isDraining() && isReader())) await claim.step()
      const held = claim.held()
      if (held !== undefined && !isHolder) log.emit('leaseAcquired', { fencing: held.fencing })
      if (held === undefined && isHolder) log.emit('leaseLost', { fencing: lastFencing })
      if (held !== undefined) {
        lastFencing = held.fencing
        wasHolder = true
      } else if (isStoreUp()) {
        wasHolder = false
      }
      metrics.isLeaseHolder.set(held === undefined ? 0 : 1)
    }
  }
}
