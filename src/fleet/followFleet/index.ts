/**
 * Follows configuration and targets in the object API by list and watch. Each wait is short
 * enough that a watch gone silent delays a change by less than the time in which it must be in
 * force. After the store has come back from a copy, nothing of its earlier era is applied, and
 * everything is listed anew. Only some hosts (see `isStoreReader`) watch the targets; the others get changes from these.
 * The configuration changes seldom, so every root of the tree of hosts watches it: a version must be
 * in force in time although some roots are cut off from the store without an error. These watches
 * end one after the other, and a host whose watch of anything went silent replaces all its watches:
 * open connections may go silent together, also those of all hosts.
 */
import type { EventLog } from '../../event/types.js'
import type { ObjectStore, StoredObject, WatchOptions, WatchResult } from '../../objectApi/types.js'
import { delayToNextRound } from '../../runtime/delayToNextRound/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { compareEras, type StorePosition } from '../comparePositions/index.js'
import type { FleetState } from '../createFleetState/index.js'
import type { FleetConfiguration, Target } from '../types.js'

/** Keys of the stored objects and how to decode their values, which are in the platform's formats. */
export interface FleetFormat {
  configurationKey: string
  /** Prefix of the keys of targets; ends with a slash. */
  targetPrefix: string
  /** `undefined` for an object that cannot be decoded; the decoder logs why. */
  decodeConfiguration: (object: StoredObject) => FleetConfiguration | undefined
  /** `undefined` for an object that cannot be decoded; the decoder logs why. */
  decodeTarget: (object: StoredObject) => Target | undefined
}

/** Options of `followFleet`. */
export interface FollowFleetOptions {
  store: ObjectStore
  format: FleetFormat
  log: EventLog
  runtime: Runtime
  signal: AbortSignal
  /** Whether some peer reaches the store, so that a failed call here is not a store outage. */
  isStoreUpForPeers: () => boolean
  /** Whether this host reads the store for the others. */
  isReader: () => boolean
  /** Whether this host watches the configuration although it is no reader. */
  isConfigurationWatcher: () => boolean
  /** The part of the usual wait that the first watch of the configuration after a change takes, above 0 and at most 1; all of it by default. */
  configurationWaitShare?: () => number
}

/** State of the connection to the store. */
export interface FleetFollower {
  /** Whether this host reads the store and the last call of every watch was answered. */
  isConnected: () => boolean
  /** Time since the targets were last confirmed by the store, in milliseconds. */
  targetsAgeMs: () => number
}

/** First and longest wait after a failed call, in milliseconds; doubled with each failure in a row. */
const MIN_RETRY_MS = 100
const MAX_RETRY_MS = 500

/** Least time between two calls of a watch of the targets, in milliseconds; their entries change several times a second, and changes within this time come in one answer. */
const TARGET_WATCH_SPACING_MS = 400

/** How long a watch of the targets waits, and how much later it counts as silent, in milliseconds; a silent reader must be replaced well within the time in which a version must be in force. */
const TARGET_WATCH_WAIT_MS = 600
const TARGET_WATCH_GRACE_MS = 400

/** Age of the last answer about the targets up to which a reader is connected, in milliseconds; a host that has just become a reader is not. */
const CONFIRMED_AGE_MS = 1_500

/** Interval at which a host that is no reader and knows nothing yet lists, in milliseconds; most get the state from another host before the second time. */
const FIRST_LIST_INTERVAL_MS = 2_000

/** Interval at which a host that does not read the store checks whether it should, in milliseconds. */
const READER_CHECK_MS = 100

/** Result of a call that was aborted here, which says nothing of the store. */
const REPLACED = Symbol('replaced')

/** Cause of a failure: an answer that the store gave before it came back from a copy, and that arrived late. */
const EARLIER_ERA = 'answer of an earlier era'

/** How long after a store outage, or after the store has come back from a copy, missing entries may be written again, in milliseconds; the platform allows engines about two seconds. */
const LAPSED_ENTRY_GRACE_MS = 1_900

/**
 * @name followFleet
 * @summary Starts to follow the store; stops when the signal aborts.
 * @param fleet - State to update.
 * @param options - Store, decoders, log, runtime and signal.
 * @returns The state of the connection.
 *
 * @example
 * const follower = followFleet(fleet, { store, format, log, runtime, signal, isStoreUpForPeers, isReader })
 */
export function followFleet (fleet: FleetState, options: FollowFleetOptions): FleetFollower {
  const { store, format, log, runtime, signal, isStoreUpForPeers, isReader, isConfigurationWatcher, configurationWaitShare = () => 1 } = options
  /** Watches that wait for an answer. */
  const openWatches = new Set<AbortController>()
  signal.addEventListener('abort', abortWatches, { once: true })
  /** Monotonic time of the first failed call, by prefix, until a call succeeds. */
  const failingSinceMs = new Map<string, number>()
  /** Failing prefixes for which, at some failed call, no peer reached the store either: a store outage. */
  const unreachableForAll = new Set<string>()
  let outageEndedMs = -Infinity
  let confirmedMs = -Infinity

  function abortWatches (): void {
    for (const watch of openWatches) watch.abort()
  }

  /** Records how a call ended: `cause` is that of a failure, `undefined` after a success. */
  function recordCallResult (prefix: string, cause: string | undefined): void {
    if (cause === undefined) {
      const sinceMs = failingSinceMs.get(prefix)
      if (sinceMs === undefined) return
      failingSinceMs.delete(prefix)
      if (unreachableForAll.delete(prefix)) outageEndedMs = runtime.monotonicMs()
      log.emit('storeRecovered', { prefix, afterMs: Math.round(runtime.monotonicMs() - sinceMs) })
      return
    }
    if (!isStoreUpForPeers()) unreachableForAll.add(prefix)
    if (failingSinceMs.has(prefix)) return
    failingSinceMs.set(prefix, runtime.monotonicMs())
    log.emit('storeUnavailable', { prefix, cause })
  }

  /** Forgets failed calls for a prefix, once other hosts read it. */
  function forgetFailures (prefix: string): void {
    failingSinceMs.delete(prefix)
    unreachableForAll.delete(prefix)
  }

  /** How much longer a missing entry may be one that lapsed during a store outage, or that a copy of the store lacks, in milliseconds. */
  const keepMissingMs = (): number => Math.max(0, LAPSED_ENTRY_GRACE_MS - Math.min(runtime.monotonicMs() - outageEndedMs, fleet.eraAgeMs()))

  const compareToKnownEra = (position: StorePosition): number => compareEras(position, { era: fleet.era(), revision: 0 })

  function applyConfigurationObjects (objects: readonly StoredObject[]): void {
    for (const object of objects) {
      if (object.key !== format.configurationKey) continue
      const configuration = format.decodeConfiguration(object)
      if (configuration === undefined) continue
      if (fleet.applyConfiguration(configuration)) log.emit('fleetConfigurationInForce', { version: configuration.version, source: 'store' })
    }
  }

  const decodeTargets = (objects: readonly StoredObject[]): Target[] => objects.flatMap(object => format.decodeTarget(object) ?? [])

  function applyTargetList (objects: readonly StoredObject[], position: StorePosition): void {
    confirmedMs = runtime.monotonicMs()
    const isFirstOfEra = compareToKnownEra(position) > 0
    fleet.applySnapshot({ ...position, targets: decodeTargets(objects) }, { keepMissingMs: isFirstOfEra ? LAPSED_ENTRY_GRACE_MS : keepMissingMs() })
  }

  function applyTargetChanges (objects: readonly StoredObject[], removedKeys: readonly string[], position: StorePosition): void {
    confirmedMs = runtime.monotonicMs()
    if (objects.length === 0 && removedKeys.length === 0) return
    const changed = decodeTargets(objects)
    const decodedIds = new Set(changed.map(target => target.id))
    const undecodableIds = objects.map(object => nameInKey(object.key)).filter(name => !decodedIds.has(name))
    const removedIds = [...removedKeys.map(nameInKey), ...undecodableIds]
    fleet.applyChanges({ ...position, changed, removedIds }, { keepMissingMs: keepMissingMs() })
    const leavingIds = changed.filter(target => target.isLeaving).map(target => target.id)
    if (removedIds.length + leavingIds.length > 0) log.emit('targetLeaving', { removedIds, leavingIds, revision: position.revision })
  }

  // A host that knows nothing yet lists once, even if it is no reader.
  followPrefix(configurationPrefix(format), { isNeeded: () => isReader() || isConfigurationWatcher(), isUnknown: () => fleet.configuration() === undefined, spacingMs: 0, firstWaitShare: configurationWaitShare, watchTimes: {} }, applyConfigurationObjects, objects => applyConfigurationObjects(objects))
  followPrefix(format.targetPrefix, { isNeeded: isReader, isUnknown: () => fleet.revision() < 0, spacingMs: TARGET_WATCH_SPACING_MS, firstWaitShare: () => 1, watchTimes: { waitMs: TARGET_WATCH_WAIT_MS, graceMs: TARGET_WATCH_GRACE_MS } }, applyTargetList, applyTargetChanges)

  /** Lists and watches a prefix while that is needed; otherwise lists it now and then until something is known. */
  async function followPrefix (
    prefix: string,
    { isNeeded, isUnknown, spacingMs, firstWaitShare, watchTimes }: { isNeeded: () => boolean, isUnknown: () => boolean, spacingMs: number, firstWaitShare: () => number, watchTimes: Pick<WatchOptions, 'waitMs' | 'graceMs'> },
    onList: (objects: readonly StoredObject[], position: StorePosition) => void,
    onChanges: (objects: readonly StoredObject[], removedKeys: readonly string[], position: StorePosition) => void
  ): Promise<void> {
    let position: StorePosition | undefined
    let retryMs = MIN_RETRY_MS
    // A watch from the revision of a stale list brings what the list lacks.
    let mayListStale = true
    /** Whether the next watch is the first one since a list or a change. */
    let isFirstWatch = true
    let firstListMs = -Infinity
    while (!signal.aborted) {
      if (!isNeeded()) {
        if (position !== undefined) log.emit('targetsLeftToReaders', { prefix, revision: position.revision })
        position = undefined
        forgetFailures(prefix)
        if (isUnknown() && runtime.monotonicMs() - firstListMs >= FIRST_LIST_INTERVAL_MS) {
          firstListMs = runtime.monotonicMs()
          await listOnce()
        } else await sleep(delayToNextRound(READER_CHECK_MS, runtime.monotonicMs()), { runtime, signal })
        continue
      }
      const cause = await listOrWatch()
      if (cause === REPLACED) continue
      recordCallResult(prefix, cause)
      if (cause === undefined) retryMs = MIN_RETRY_MS
      else {
        await sleep(retryMs * (0.5 + runtime.random() / 2), { runtime, signal })
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
      }
    }

    /** What is known of an earlier era is no ground for a watch, and a stale list may be of that era. */
    function beginNewEra (): void {
      position = undefined
      mayListStale = false
    }

    /** Watches from a position, unless the watch is aborted meanwhile. */
    async function watchFrom ({ revision }: StorePosition): Promise<WatchResult | typeof REPLACED> {
      const controller = new AbortController()
      openWatches.add(controller)
      try {
        const waitShare = isFirstWatch ? firstWaitShare() : 1
        const watched = await store.watch(prefix, revision, { signal: controller.signal, waitShare, ...watchTimes })
        return controller.signal.aborted ? REPLACED : watched
      } finally {
        openWatches.delete(controller)
      }
    }

    async function listOnce (): Promise<void> {
      const listed = await store.list(prefix, { mayBeStale: true })
      if (listed.kind === 'unavailable') log.emit('storeUnavailable', { prefix, cause: listed.cause })
      else if (compareToKnownEra(listed) < 0) log.emit('storeUnavailable', { prefix, cause: EARLIER_ERA })
      else onList(listed.objects, toPosition(listed))
    }

    /** Lists the prefix once, then watches it; returns the cause of a failure. */
    async function listOrWatch (): Promise<string | typeof REPLACED | undefined> {
      if (position !== undefined && compareToKnownEra(position) < 0) beginNewEra()
      if (position === undefined) {
        const listed = await store.list(prefix, { mayBeStale: mayListStale })
        if (listed.kind === 'unavailable') return listed.cause
        if (compareToKnownEra(listed) < 0) return EARLIER_ERA
        mayListStale = true
        recordCallResult(prefix, undefined)
        position = toPosition(listed)
        isFirstWatch = true
        onList(listed.objects, position)
        return undefined
      }
      const sentMs = runtime.monotonicMs()
      const watched = await watchFrom(position)
      if (watched === REPLACED) return REPLACED
      if (watched.kind === 'unavailable') return watched.cause
      if (watched.kind === 'reset' || watched.kind === 'silent') {
        position = undefined
        // A stale list could have the revision that the store no longer knows.
        mayListStale = watched.kind !== 'reset'
        if (watched.kind === 'reset') return undefined
        log.emit('watchReplaced', { prefix, afterMs: watched.afterMs })
        abortWatches()
        // Others read in this host's place until a list is answered.
        return 'silent watch'
      }
      recordCallResult(prefix, undefined)
      const order = compareEras(watched, position)
      if (order < 0) return EARLIER_ERA
      if (order > 0) {
        beginNewEra()
        return undefined
      }
      position = toPosition(watched)
      isFirstWatch = watched.objects.length > 0
      onChanges(watched.objects, watched.removedKeys ?? [], position)
      const pauseMs = sentMs + spacingMs - runtime.monotonicMs()
      if (pauseMs > 0) await sleep(pauseMs, { runtime, signal })
      return undefined
    }
  }

  return {
    isConnected: () => isReader() && failingSinceMs.size === 0 && runtime.monotonicMs() - confirmedMs < CONFIRMED_AGE_MS,
    targetsAgeMs: () => runtime.monotonicMs() - confirmedMs
  }
}

const toPosition = ({ era, revision }: StorePosition): StorePosition => ({ era, revision })

function configurationPrefix (format: FleetFormat): string {
  return format.configurationKey.slice(0, format.configurationKey.indexOf('/') + 1)
}

function nameInKey (key: string): string {
  return key.slice(key.indexOf('/') + 1)
}
