/**
 * What this host knows of the fleet: the configuration, which only moves to higher versions, and
 * the targets as of the highest revision seen, whichever of store and peers showed it.
 */
import type { Runtime } from '../../runtime/types.js'
import type { FleetConfiguration, LayerRange, Target } from '../types.js'

/** All targets at one revision of the store. */
export interface TargetSnapshot {
  revision: number
  targets: Target[]
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
  serving: (service: string) => Target[]
  /** Whether the target is listed, as this start of it, and not leaving. */
  isServing: (target: Target) => boolean
  revision: () => number
  /**
   * Replaces all targets if the revision is not lower. Targets that are missing are kept for
   * `keepMissingMs`, as entries lapse while the store is away.
   */
  applySnapshot: (snapshot: TargetSnapshot, options?: { keepMissingMs?: number }) => boolean
  /** Applies what changed since the last revision. */
  applyChanges: (changes: { revision: number, changed: Target[], removedIds: string[] }, options?: { keepMissingMs?: number }) => void
  noteLayers: (seen: SeenLayers) => void
  /** Layers seen that the entries do not show yet. */
  seenLayers: () => SeenLayers[]
  /** Calls back after each change of configuration or targets. */
  onChange: (listener: () => void) => void
}

/** How long a sighting of layers goes before an entry that says otherwise; entries are written about every second. */
const SIGHTING_MS = 5_000

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
  const listeners: Array<() => void> = []
  let listed: Target[] | undefined
  const changed = (): void => {
    listed = undefined
    for (const listener of listeners) listener()
  }

  function drop (ids: readonly string[], keepMissingMs: number): void {
    for (const id of ids) {
      if (!targets.has(id)) continue
      if (keepMissingMs <= 0) {
        targets.delete(id)
        missing.delete(id)
      } else if (!missing.has(id)) {
        missing.set(id, runtime.monotonicMs() + keepMissingMs)
        runtime.setTimer(keepMissingMs, expire)
      }
    }
  }

  function expire (): void {
    let isDropped = false
    for (const [id, untilMs] of missing) {
      if (untilMs > runtime.monotonicMs()) continue
      missing.delete(id)
      isDropped = targets.delete(id) || isDropped
    }
    if (isDropped) changed()
  }

  function put (target: Target): void {
    targets.set(target.id, target)
    missing.delete(target.id)
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
      changed()
      return true
    },
    targets: listTargets,
    serving: service => listTargets().filter(target => target.service === service && !target.isLeaving),
    isServing (target) {
      const known = targets.get(target.id)
      return known !== undefined && known.bornMs === target.bornMs && !known.isLeaving
    },
    revision: () => revision,
    applySnapshot (snapshot, { keepMissingMs = 0 } = {}) {
      if (snapshot.revision < revision) return false
      revision = snapshot.revision
      const listed = new Set(snapshot.targets.map(target => target.id))
      drop([...targets.keys()].filter(id => !listed.has(id)), keepMissingMs)
      snapshot.targets.forEach(put)
      changed()
      return true
    },
    applyChanges ({ revision: next, changed: changedTargets, removedIds }, { keepMissingMs = 0 } = {}) {
      if (next < revision) return
      revision = next
      drop(removedIds, keepMissingMs)
      changedTargets.forEach(put)
      changed()
    },
    noteLayers (seen) {
      const known = targets.get(seen.targetId)
      if (known === undefined || known.bornMs !== seen.bornMs) return
      sightings.set(seen.targetId, { ...seen, seenMs: runtime.monotonicMs() })
      runtime.setTimer(SIGHTING_MS + 1, () => { listed = undefined })
      changed()
    },
    seenLayers: () => [...sightings.values()]
      .filter(sighting => runtime.monotonicMs() - sighting.seenMs <= SIGHTING_MS && !isShown(sighting, targets.get(sighting.targetId)))
      .map(({ targetId, bornMs, layers }) => ({ targetId, bornMs, layers })),
    onChange: listener => { listeners.push(listener) }
  }
}

function isShown (sighting: SeenLayers, target: Target | undefined): boolean {
  if (target === undefined) return true
  return target.layers?.from === sighting.layers?.from && target.layers?.to === sighting.layers?.to
}
