/**
 * What this host knows of the fleet: the configuration, which only moves to higher versions, and
 * the targets as of the highest revision seen, whichever of store and peers showed it.
 */
import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import type { Runtime } from '../../runtime/types.js'
import type { FleetConfiguration, LayerRange, Target, TargetUpdate } from '../types.js'

/** All targets at one revision of the store. */
export interface TargetSnapshot {
  revision: number
  targets: Target[]
  /** Targets whose entries are missing, with the time until they are given up. */
  lapsing?: TargetUpdate['lapsing']
}

/** What changed up to a revision of the store. */
export interface TargetChanges {
  revision: number
  changed: Target[]
  removedIds: string[]
  lapsing?: TargetUpdate['lapsing']
}

/** Layers that an engine was seen to hold, before its entry says so. */
export interface SeenLayers {
  targetId: string
  bornMs: number
  /** `null` when it was seen to hold none. */
  layers: LayerRange | null
}

/** The fleet as this host knows it. */
export interface FleetState {
  configuration: () => FleetConfiguration | undefined
  /** Puts a configuration into force if its version is higher; says whether it did. */
  applyConfiguration: (configuration: FleetConfiguration) => boolean
  /** Every listed target. */
  targets: () => Target[]
  /** Listed targets of a service that are not leaving. */
  servingTargets: (service: string) => Target[]
  /** Whether the target is listed, as this start of it, and not leaving. */
  isServing: (target: Target) => boolean
  revision: () => number
  /** Equal on two hosts that know the same targets. */
  fingerprint: () => string
  /** What a host with another fingerprint lacks; all targets where that cannot be told. */
  updateSince: (fingerprint: string) => TargetUpdate
  /**
   * Replaces all targets if the revision is not lower. Targets that are missing are kept for
   * `keepMissingMs`, as entries lapse while the store is away.
   */
  applySnapshot: (snapshot: TargetSnapshot, options?: { keepMissingMs?: number }) => boolean
  /** Applies what changed since the last revision. */
  applyChanges: (changes: TargetChanges, options?: { keepMissingMs?: number }) => void
  recordSeenLayers: (seen: SeenLayers) => void
  /** Layers seen that the entries do not show yet. */
  seenLayers: () => SeenLayers[]
  /** Calls back after each change of configuration or targets, until the subscription is disposed of. */
  onChange: (listener: () => void) => Disposable
}

/** How long a sighting of layers goes before an entry that says otherwise; entries are written about every second. */
const SIGHTING_MS = 5_000

/** Changes that are kept to answer `updateSince`; more than one second's in the worst of starts. */
const KEPT_CHANGES = 100

interface Sighting extends SeenLayers {
  seenMs: number
}

/**
 * @name createFleetState
 * @summary A state that knows nothing.
 * @param options - The runtime.
 * @returns The state.
 *
 * @example
 * const fleet = createFleetState({ runtime })
 * fleet.applySnapshot({ revision: 12, targets })
 */
export function createFleetState (options: { runtime: Runtime }): FleetState {
  const { runtime } = options
  let configuration: FleetConfiguration | undefined
  let revision = -1
  const targets = new Map<string, Target>()
  /** Missing targets that are kept, with the monotonic time at which they go. */
  const missing = new Map<string, number>()
  const sightings = new Map<string, Sighting>()
  const listeners = new Set<() => void>()
  let listed: Target[] | undefined
  let fingerprint = ''
  /** Targets that were changed or removed at each state, by the fingerprint before it. */
  let history: Array<{ fingerprint: string, ids: string[] }> = []

  const notify = (): void => {
    listed = undefined
    for (const listener of [...listeners]) listener()
  }

  /** Keeps which targets differ from before, and tells the listeners. */
  function recordChange (ids: string[]): void {
    if (ids.length === 0) return
    history = [...history, { fingerprint, ids }].slice(-KEPT_CHANGES)
    fingerprint = fingerprintOf(targets.values())
    notify()
  }

  /** Removes targets, or keeps them for a while; says which are gone. */
  function drop (ids: readonly string[], keepMissingMs: number): string[] {
    const dropped: string[] = []
    for (const id of ids) {
      if (!targets.has(id)) continue
      if (keepMissingMs <= 0) {
        targets.delete(id)
        missing.delete(id)
        dropped.push(id)
      } else if (!missing.has(id)) {
        missing.set(id, runtime.monotonicMs() + keepMissingMs)
        runtime.setTimer(keepMissingMs, expire)
      }
    }
    return dropped
  }

  /** Takes over how much longer a peer keeps targets that are missing. */
  function dropLapsing (lapsing: TargetUpdate['lapsing']): string[] {
    return lapsing.flatMap(({ id, leftMs }) => drop([id], leftMs))
  }

  function listLapsing (): TargetUpdate['lapsing'] {
    return [...missing].map(([id, untilMs]) => ({ id, leftMs: Math.max(0, Math.round(untilMs - runtime.monotonicMs())) }))
  }

  function expire (): void {
    const expired = [...missing].filter(([, untilMs]) => untilMs <= runtime.monotonicMs()).map(([id]) => id)
    recordChange(drop(expired, 0))
  }

  /** Takes targets in; says which differ from what was known, as most entries only prove that a target lives. */
  function put (next: readonly Target[]): string[] {
    const differing: string[] = []
    for (const target of next) {
      missing.delete(target.id)
      if (isDeepStrictEqual(targets.get(target.id), target)) continue
      targets.set(target.id, target)
      differing.push(target.id)
    }
    return differing
  }

  function withSighting (target: Target): Target {
    const sighting = sightings.get(target.id)
    if (sighting === undefined) return target
    const isOver = sighting.bornMs !== target.bornMs || runtime.monotonicMs() - sighting.seenMs > SIGHTING_MS
    if (isOver) {
      sightings.delete(target.id)
      return target
    }
    return { ...target, layers: sighting.layers ?? undefined }
  }

  const listTargets = (): Target[] => {
    listed ??= [...targets.values()].map(withSighting)
    return listed
  }

  return {
    configuration: () => configuration,
    applyConfiguration (next) {
      if (configuration !== undefined && next.version <= configuration.version) return false
      configuration = next
      notify()
      return true
    },
    targets: listTargets,
    servingTargets: service => listTargets().filter(target => target.service === service && !target.isLeaving),
    isServing (target) {
      const known = targets.get(target.id)
      return known !== undefined && known.bornMs === target.bornMs && !known.isLeaving
    },
    revision: () => revision,
    fingerprint: () => fingerprint,
    updateSince (known) {
      const lapsing = listLapsing()
      if (known === fingerprint) return { revision, fingerprint, isWhole: false, changed: [], removedIds: [], lapsing }
      const index = history.findIndex(change => change.fingerprint === known)
      if (index < 0) return { revision, fingerprint, isWhole: true, changed: [...targets.values()], removedIds: [], lapsing }
      const ids = [...new Set(history.slice(index).flatMap(change => change.ids))]
      return { revision, fingerprint, isWhole: false, changed: ids.flatMap(id => targets.get(id) ?? []), removedIds: ids.filter(id => !targets.has(id)), lapsing }
    },
    applySnapshot (snapshot, { keepMissingMs = 0 } = {}) {
      if (snapshot.revision < revision) return false
      revision = snapshot.revision
      const listed = new Set(snapshot.targets.map(target => target.id))
      const dropped = drop([...targets.keys()].filter(id => !listed.has(id)), keepMissingMs)
      recordChange([...dropped, ...put(snapshot.targets), ...dropLapsing(snapshot.lapsing ?? [])])
      return true
    },
    applyChanges ({ revision: next, changed, removedIds, lapsing = [] }, { keepMissingMs = 0 } = {}) {
      if (next < revision) return
      revision = next
      recordChange([...drop(removedIds, keepMissingMs), ...put(changed), ...dropLapsing(lapsing)])
    },
    recordSeenLayers (seen) {
      const known = targets.get(seen.targetId)
      if (known === undefined || known.bornMs !== seen.bornMs) return
      sightings.set(seen.targetId, { ...seen, seenMs: runtime.monotonicMs() })
      runtime.setTimer(SIGHTING_MS + 1, () => { listed = undefined })
      notify()
    },
    seenLayers: () => [...sightings.values()]
      .filter(sighting => runtime.monotonicMs() - sighting.seenMs <= SIGHTING_MS && !isShown(sighting, targets.get(sighting.targetId)))
      .map(({ targetId, bornMs, layers }) => ({ targetId, bornMs, layers })),
    onChange (listener) {
      listeners.add(listener)
      return { [Symbol.dispose] () { listeners.delete(listener) } }
    }
  }
}

function fingerprintOf (targets: Iterable<Target>): string {
  const lines = [...targets].map(({ id, service, address, failureDomain, bornMs, isLeaving, kind, layers, slots }) =>
    JSON.stringify([id, service, address, failureDomain, bornMs, isLeaving, kind, layers?.from, layers?.to, slots]))
  return createHash('sha1').update(lines.sort().join('\n')).digest('base64url')
}

function isShown (sighting: SeenLayers, target: Target | undefined): boolean {
  if (target === undefined) return true
  return target.layers?.from === sighting.layers?.from && target.layers?.to === sighting.layers?.to
}
