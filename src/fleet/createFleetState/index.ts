/**
 * This host's copy of the fleet: the configuration, which is only ever replaced by a higher
 * version, and the targets at the latest position of the store seen, read from the store or from peers.
 * What engines were seen to hold, and which targets leave, overrides their entries: a target that has
 * once reported that it leaves does so whatever an older list, or an entry that comes back, says.
 */
import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import type { Runtime } from '../../runtime/types.js'
import { compareEras, comparePositions, type StorePosition } from '../comparePositions/index.js'
import { findTargetDefect } from '../findTargetDefect/index.js'
import type { FleetConfiguration, LayerRange, Target, TargetUpdate } from '../types.js'

/** One start of a target. */
type Instance = Pick<Target, 'id' | 'bornMs'>

/** All targets at one position of the store. */
export interface TargetSnapshot extends StorePosition {
  targets: Target[]
  /** Targets kept although their entries are missing, with the time until they are removed. */
  lapsing?: TargetUpdate['lapsing']
}

/** Targets that changed or were removed up to a position of the store. */
export interface TargetChanges extends StorePosition {
  changed: Target[]
  removedIds: string[]
  lapsing?: TargetUpdate['lapsing']
}

/** Layers that a host saw an engine hold, before the engine's entry in the store shows them. */
export interface SeenLayers {
  targetId: string
  bornMs: number
  /** `null` when the engine held none. */
  layers: LayerRange | null
}

/** The store has come back from a copy: the first position known of its new era, and the last one before. */
export interface NewEra {
  era: number
  revision: number
  previousEra: number
  previousRevision: number
}

/** Configuration and targets as this host knows them. */
export interface FleetState {
  configuration: () => FleetConfiguration | undefined
  /** Time since the configuration came into force on this host, in milliseconds. */
  configurationAgeMs: () => number | undefined
  /** Replaces the configuration if the version is higher; returns whether it did. */
  applyConfiguration: (configuration: FleetConfiguration) => boolean
  /** Every listed target without a defect. */
  targets: () => Target[]
  /** Listed targets of a service that are not leaving. */
  servingTargets: (service: string) => Target[]
  /** Whether the target is listed with the same start time. */
  isListed: (target: Target) => boolean
  /** Whether the target is listed with the same start time and is not leaving. */
  isServing: (target: Target) => boolean
  /** Whether this start of the target has said, by its entry or itself, that it leaves. */
  hasLeft: (target: Instance) => boolean
  revision: () => number
  /** Era of the store's revision; `undefined` while no era is known. */
  era: () => number | undefined
  /** Time since a new era of the store was first heard of, in milliseconds; infinite if none was. */
  eraAgeMs: () => number
  /** Whether a position of the store is earlier than that of the targets. */
  isBehind: (position: StorePosition) => boolean
  /** Equal on two hosts that know the same targets. */
  fingerprint: () => string
  /** Changes that a host with the given fingerprint lacks, or all targets when that fingerprint is not in the history. */
  updateSince: (fingerprint: string) => TargetUpdate
  /**
   * Replaces all targets if the position is not earlier; returns whether it did. Targets missing
   * from the snapshot are kept for `keepMissingMs`, as entries lapse during a store outage.
   */
  applySnapshot: (snapshot: TargetSnapshot, options?: { keepMissingMs?: number }) => boolean
  /** Applies changes if their position is not earlier; removed targets are kept for `keepMissingMs`. */
  applyChanges: (changes: TargetChanges, options?: { keepMissingMs?: number }) => void
  /** Records layers seen on an engine, unless the target is unknown or was started at another time. */
  recordSeenLayers: (seen: SeenLayers) => void
  /** Records that a target said itself that it leaves, whatever its entry says; returns whether that is new. It holds for that start of the target. */
  recordLeaving: (target: Instance) => boolean
  /** Listed targets that leave: those that said it themselves, and those whose entries do not say it any more. */
  knownLeaving: () => Array<{ targetId: string, bornMs: number }>
  /** Recent sightings that the entries do not show yet. */
  seenLayers: () => SeenLayers[]
  /** Calls the listener after each change of configuration or targets, until the subscription is disposed of. */
  onChange: (listener: () => void) => Disposable
}

/** How long seen layers override the engine's entry, in milliseconds; engines write their entry about every second. */
const SEEN_LAYERS_TTL_MS = 5_000

/** Leaving targets, and targets that are gone, that are remembered; nobody lists the first ones by then. */
const MAX_LEAVING = 1_000

/** How long a target that was gone is not used after a list from a copy has brought it back, in milliseconds; the store has removed an entry that nobody writes by then. */
const RESTORED_HOLD_MS = 5_000

/** Changes kept to answer `updateSince`: more than one second's worth, even while the whole fleet starts. */
const MAX_HISTORY_CHANGES = 100

/** One start of a target that leaves. */
interface LeavingInstance {
  targetId: string
  bornMs: number
  /** Whether the target said so itself, and not only its entry. */
  isOwnWord: boolean
}

interface TimedSeenLayers extends SeenLayers {
  seenMs: number
}

/**
 * @name createFleetState
 * @summary Creates a fleet state without configuration and targets.
 * @param options - The runtime, and what is told of a new era of the store.
 * @returns The state.
 *
 * @example
 * const fleet = createFleetState({ runtime })
 * fleet.applySnapshot({ revision: 12, targets })
 */
export function createFleetState (options: { runtime: Runtime, onNewEra?: (change: NewEra) => void }): FleetState {
  const { runtime, onNewEra = () => {} } = options
  let configuration: FleetConfiguration | undefined
  let configuredMs: number | undefined
  let revision = -1
  let era: number | undefined
  /** The first era heard of, to which positions without an era are taken to belong. */
  let firstEra: number | undefined
  let newEraMs = -Infinity
  const targets = new Map<string, Target>()
  /** Targets that must not be used. They are kept, as the fingerprints of peers that told of them cover them. */
  const defectiveIds = new Set<string>()
  /** Targets kept although their entries are missing, with the monotonic time at which they are removed. */
  const missingUntilMs = new Map<string, number>()
  const sightings = new Map<string, TimedSeenLayers>()
  /** Leaving targets by `keyOf` of their start. */
  const leaving = new Map<string, LeavingInstance>()
  /** Targets that were removed, by `keyOf` of their start. */
  const gone = new Set<string>()
  /** Targets that were gone before the store came back from a copy that lists them, with the monotonic time until which they are not used. */
  const restoredUntilMs = new Map<string, number>()
  const listeners = new Set<() => void>()
  let targetList: Target[] | undefined
  let fingerprint = ''
  /** For each change, oldest first: the fingerprint before it and the targets that it changed or removed. */
  let history: Array<{ fingerprint: string, ids: string[] }> = []

  const notify = (): void => {
    targetList = undefined
    for (const listener of [...listeners]) listener()
  }

  const withEra = (position: StorePosition): StorePosition => ({ era: position.era ?? firstEra, revision: position.revision })

  const isBehind = (position: StorePosition): boolean => comparePositions(withEra(position), withEra({ era, revision })) < 0

  /** Moves on to a position that is not behind; returns whether a new era begins there. */
  function advance (next: StorePosition): boolean {
    const previous = withEra({ era, revision })
    const isNewEra = compareEras(next, previous) > 0
    era = next.era ?? era
    revision = next.revision
    if (!isNewEra) return false
    newEraMs = runtime.monotonicMs()
    onNewEra({ era: era!, revision, previousEra: previous.era!, previousRevision: previous.revision })
    return true
  }

  /** Adds changed targets to the history, updates the fingerprint and notifies the listeners. */
  function recordChange (ids: string[]): void {
    // The first list may be empty; a host that knows that has another fingerprint than one that knows nothing.
    if (ids.length === 0 && (fingerprint !== '' || revision < 0)) return
    history = [...history, { fingerprint, ids }].slice(-MAX_HISTORY_CHANGES)
    fingerprint = computeFingerprint(targets.values())
    notify()
  }

  /** Removes targets at once, or after `keepMissingMs` if that is positive; returns the ids removed at once. */
  function removeOrKeep (ids: readonly string[], keepMissingMs: number): string[] {
    const removedNow: string[] = []
    for (const id of ids) {
      if (!targets.has(id)) continue
      if (keepMissingMs <= 0) {
        rememberGone(targets.get(id)!)
        targets.delete(id)
        defectiveIds.delete(id)
        missingUntilMs.delete(id)
        removedNow.push(id)
      } else if (!missingUntilMs.has(id)) {
        missingUntilMs.set(id, runtime.monotonicMs() + keepMissingMs)
        runtime.setTimer(keepMissingMs, removeExpired)
      }
    }
    return removedNow
  }

  /** Keeps missing targets for as long as the peer that reported them does; returns the ids removed at once. */
  function keepLapsing (lapsing: TargetUpdate['lapsing']): string[] {
    return lapsing.flatMap(({ id, leftMs }) => removeOrKeep([id], leftMs))
  }

  function listLapsing (): TargetUpdate['lapsing'] {
    return [...missingUntilMs].map(([id, untilMs]) => ({ id, leftMs: Math.max(0, Math.round(untilMs - runtime.monotonicMs())) }))
  }

  function removeExpired (): void {
    const expired = [...missingUntilMs].filter(([, untilMs]) => untilMs <= runtime.monotonicMs()).map(([id]) => id)
    recordChange(removeOrKeep(expired, 0))
  }

  function rememberGone (target: Target): void {
    gone.add(keyOf(target))
    if (gone.size > MAX_LEAVING) gone.delete(gone.keys().next().value!)
  }

  /** A copy of the store may list targets that are gone since: these are not used unless they are written again. */
  function noteListed (target: Target, { isRestored }: { isRestored: boolean }): void {
    const key = keyOf(target)
    const wasGone = gone.delete(key)
    if (!isRestored) restoredUntilMs.delete(key)
    else if (wasGone) {
      restoredUntilMs.set(key, runtime.monotonicMs() + RESTORED_HOLD_MS)
      runtime.setTimer(RESTORED_HOLD_MS, releaseRestored)
    }
  }

  function releaseRestored (): void {
    for (const [key, untilMs] of restoredUntilMs) if (untilMs <= runtime.monotonicMs()) restoredUntilMs.delete(key)
    notify()
  }

  /** Adds or replaces targets, whose entries may come from a copy of the store; returns the ids of those that differ, as most entries are only heartbeats. */
  function upsert (next: readonly Target[], { isRestored }: { isRestored: boolean }): string[] {
    const changedIds: string[] = []
    for (const target of next) {
      missingUntilMs.delete(target.id)
      noteListed(target, { isRestored })
      if (target.isLeaving && !leaving.has(keyOf(target))) rememberLeaving(target, { isOwnWord: false })
      const known = targets.get(target.id)
      if (known !== undefined && known.bornMs !== target.bornMs) rememberGone(known)
      if (isDeepStrictEqual(known, target)) continue
      targets.set(target.id, target)
      if (findTargetDefect(target) === undefined) defectiveIds.delete(target.id)
      else defectiveIds.add(target.id)
      changedIds.push(target.id)
    }
    return changedIds
  }

  /** The target with the layers last seen on it, while that sighting is recent and of the same start. */
  function withSeenLayers (target: Target): Target {
    const sighting = sightings.get(target.id)
    if (sighting === undefined) return target
    const isExpired = sighting.bornMs !== target.bornMs || runtime.monotonicMs() - sighting.seenMs > SEEN_LAYERS_TTL_MS
    if (isExpired) {
      sightings.delete(target.id)
      return target
    }
    return { ...target, layers: sighting.layers ?? undefined }
  }

  function rememberLeaving (target: Instance, { isOwnWord }: { isOwnWord: boolean }): void {
    const key = keyOf(target)
    leaving.delete(key)
    leaving.set(key, { targetId: target.id, bornMs: target.bornMs, isOwnWord })
    if (leaving.size > MAX_LEAVING) leaving.delete(leaving.keys().next().value!)
  }

  const isLeaving = (target: Target): boolean => target.isLeaving || leaving.has(keyOf(target)) || restoredUntilMs.has(keyOf(target))

  /** The target as this host knows it, beyond its entry. */
  function withObservations (target: Target): Target {
    const seen = withSeenLayers(target)
    return isLeaving(target) === target.isLeaving ? seen : { ...seen, isLeaving: true }
  }

  const isListed = (target: Target): boolean => targets.get(target.id)?.bornMs === target.bornMs

  const listTargets = (): Target[] => {
    targetList ??= [...targets.values()].filter(({ id }) => !defectiveIds.has(id)).map(withObservations)
    return targetList
  }

  return {
    configuration: () => configuration,
    configurationAgeMs: () => configuredMs === undefined ? undefined : Math.round(runtime.monotonicMs() - configuredMs),
    applyConfiguration (next) {
      if (configuration !== undefined && next.version <= configuration.version) return false
      configuration = next
      configuredMs = runtime.monotonicMs()
      notify()
      return true
    },
    targets: listTargets,
    servingTargets: service => listTargets().filter(target => target.service === service && !target.isLeaving),
    isListed,
    isServing: target => isListed(target) && !isLeaving(targets.get(target.id)!),
    hasLeft: target => leaving.has(keyOf(target)),
    revision: () => revision,
    era: () => era ?? firstEra,
    eraAgeMs: () => runtime.monotonicMs() - newEraMs,
    isBehind,
    fingerprint: () => fingerprint,
    updateSince (known) {
      const lapsing = listLapsing()
      const position = { ...(era === undefined ? {} : { era }), revision }
      if (known === fingerprint) return { ...position, fingerprint, isWhole: false, changed: [], removedIds: [], lapsing }
      const index = history.findIndex(change => change.fingerprint === known)
      if (index < 0) return { ...position, fingerprint, isWhole: true, changed: [...targets.values()], removedIds: [], lapsing }
      const ids = [...new Set(history.slice(index).flatMap(change => change.ids))]
      return { ...position, fingerprint, isWhole: false, changed: ids.flatMap(id => targets.get(id) ?? []), removedIds: ids.filter(id => !targets.has(id)), lapsing }
    },
    applySnapshot (snapshot, { keepMissingMs = 0 } = {}) {
      firstEra ??= snapshot.era
      if (isBehind(snapshot)) return false
      const isRestored = advance(snapshot)
      const snapshotIds = new Set(snapshot.targets.map(target => target.id))
      const removedNow = removeOrKeep([...targets.keys()].filter(id => !snapshotIds.has(id)), keepMissingMs)
      recordChange([...removedNow, ...upsert(snapshot.targets, { isRestored }), ...keepLapsing(snapshot.lapsing ?? [])])
      return true
    },
    applyChanges ({ changed, removedIds, lapsing = [], ...position }, { keepMissingMs = 0 } = {}) {
      firstEra ??= position.era
      if (isBehind(position)) return
      const isRestored = advance(position)
      recordChange([...removeOrKeep(removedIds, keepMissingMs), ...upsert(changed, { isRestored }), ...keepLapsing(lapsing)])
    },
    recordSeenLayers (seen) {
      const known = targets.get(seen.targetId)
      if (known === undefined || known.bornMs !== seen.bornMs) return
      sightings.set(seen.targetId, { ...seen, seenMs: runtime.monotonicMs() })
      runtime.setTimer(SEEN_LAYERS_TTL_MS + 1, () => { targetList = undefined })
      notify()
    },
    recordLeaving (target) {
      if (leaving.get(keyOf(target))?.isOwnWord === true) return false
      rememberLeaving(target, { isOwnWord: true })
      notify()
      return true
    },
    knownLeaving: () => [...leaving.values()].flatMap(({ targetId, bornMs, isOwnWord }) => {
      const target = targets.get(targetId)
      return target?.bornMs === bornMs && (isOwnWord || !target.isLeaving) ? [{ targetId, bornMs }] : []
    }),
    seenLayers: () => [...sightings.values()]
      .filter(sighting => runtime.monotonicMs() - sighting.seenMs <= SEEN_LAYERS_TTL_MS && !isShownByEntry(sighting, targets.get(sighting.targetId)))
      .map(({ targetId, bornMs, layers }) => ({ targetId, bornMs, layers })),
    onChange (listener) {
      listeners.add(listener)
      return { [Symbol.dispose] () { listeners.delete(listener) } }
    }
  }
}

const keyOf = ({ id, bornMs }: Instance): string => `${bornMs}:${id}`

function computeFingerprint (targets: Iterable<Target>): string {
  const lines = [...targets].map(({ id, service, address, failureDomain, bornMs, isLeaving, kind, layers, slots }) =>
    JSON.stringify([id, service, address, failureDomain, bornMs, isLeaving, kind, layers?.from, layers?.to, slots]))
  return createHash('sha1').update(lines.sort().join('\n')).digest('base64url')
}

/** Whether the target's entry shows the seen layers, or the target is gone. */
function isShownByEntry (sighting: SeenLayers, target: Target | undefined): boolean {
  if (target === undefined) return true
  return target.layers?.from === sighting.layers?.from && target.layers?.to === sighting.layers?.to
}
