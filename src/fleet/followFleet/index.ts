/**
 * Follows configuration and targets in the object API by list and watch. Each wait is short
 * enough that a watch gone silent delays a change by less than the time in which it must be in
 * force. Every host watches the configuration; targets change all the time, and a host that has
 * them from another one leaves their watch to it.
 */
import type { EventLog } from '../../event/types.js'
import type { ObjectStore, StoredObject } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { FleetState } from '../createFleetState/index.js'
import type { FleetConfiguration, Target } from '../types.js'

/** How stored objects are read; the formats are the platform's. */
export interface FleetFormat {
  configurationKey: string
  /** Ends with a slash. */
  targetPrefix: string
  /** `undefined` for what cannot be read; the reader logs why. */
  decodeConfiguration: (object: StoredObject) => FleetConfiguration | undefined
  decodeTarget: (object: StoredObject) => Target | undefined
}

/** What the follower needs. */
export interface FollowOptions {
  store: ObjectStore
  format: FleetFormat
  log: EventLog
  runtime: Runtime
  signal: AbortSignal
  /** Whether peers reach the store, so that a failure here is not the store's. */
  isStoreUpForPeers: () => boolean
  /** Whether this host is one of those that read the targets for the others. */
  isReader: () => boolean
}

/** State of the connection to the store. */
export interface FleetFollower {
  /** Whether this host reads the targets and the last call of every watch was answered. */
  isConnected: () => boolean
  /** Whether the last wait on the configuration was answered. */
  hasConfigurationWatch: () => boolean
  /** Time since the targets were last confirmed by the store, in milliseconds. */
  targetsAgeMs: () => number
}

/** First and longest wait after a failed call. */
const RETRY_FIRST_MS = 100
const RETRY_LONGEST_MS = 500

/** Interval at which a host that does not read the targets asks whether it should. */
const ROLE_CHECK_MS = 100

/** How long entries that lapsed during an outage may take to come back; the platform gives about two seconds. */
const LAPSE_RETURN_MS = 1_900

/**
 * @name followFleet
 * @summary Starts to follow the store until the signal aborts.
 * @param fleet - Takes what is read.
 * @param options - Store, formats, log, runtime and signal.
 * @returns The state of the connection.
 *
 * @example
 * const follower = followFleet(fleet, { store, format, log, runtime, signal, isStoreUpForPeers, isReader })
 */
export function followFleet (fleet: FleetState, options: FollowOptions): FleetFollower {
  const { store, format, log, runtime, signal, isStoreUpForPeers, isReader } = options
  const downSince = new Map<string, number>()
  /** Prefixes whose failure no peer was free of at some moment. */
  const downForAll = new Set<string>()
  let outageEndedMs = -Infinity
  let confirmedMs = -Infinity

  function noteResult (prefix: string, cause: string | undefined): void {
    if (cause === undefined) {
      const sinceMs = downSince.get(prefix)
      if (sinceMs === undefined) return
      downSince.delete(prefix)
      if (downForAll.delete(prefix)) outageEndedMs = runtime.monotonicMs()
      log.emit('storeRecovered', { prefix, afterMs: Math.round(runtime.monotonicMs() - sinceMs) })
      return
    }
    if (!isStoreUpForPeers()) downForAll.add(prefix)
    if (downSince.has(prefix)) return
    downSince.set(prefix, runtime.monotonicMs())
    log.emit('storeUnavailable', { prefix, cause })
  }

  /** Ends the watch of the targets while other hosts read them. */
  function standBack (): void {
    downSince.delete(format.targetPrefix)
    downForAll.delete(format.targetPrefix)
  }

  /** How much longer a missing entry may be one that lapsed while the store was away. */
  const keepMissingMs = (): number => Math.max(0, outageEndedMs + LAPSE_RETURN_MS - runtime.monotonicMs())

  function takeConfiguration (objects: readonly StoredObject[]): void {
    for (const object of objects) {
      if (object.key !== format.configurationKey) continue
      const configuration = format.decodeConfiguration(object)
      if (configuration === undefined) continue
      if (fleet.applyConfiguration(configuration)) log.emit('fleetConfigurationInForce', { version: configuration.version, source: 'store' })
    }
  }

  const decodeTargets = (objects: readonly StoredObject[]): Target[] => objects.flatMap(object => format.decodeTarget(object) ?? [])

  function takeTargets (objects: readonly StoredObject[], revision: number): void {
    confirmedMs = runtime.monotonicMs()
    fleet.applySnapshot({ revision, targets: decodeTargets(objects) }, { keepMissingMs: keepMissingMs() })
  }

  function takeTargetChanges (objects: readonly StoredObject[], removedKeys: readonly string[], revision: number): void {
    confirmedMs = runtime.monotonicMs()
    if (objects.length === 0 && removedKeys.length === 0) return
    const changed = decodeTargets(objects)
    const readable = new Set(changed.map(target => target.id))
    const unreadable = objects.map(object => nameOf(object.key)).filter(name => !readable.has(name))
    const removedIds = [...removedKeys.map(nameOf), ...unreadable]
    fleet.applyChanges({ revision, changed, removedIds }, { keepMissingMs: keepMissingMs() })
    const leavingIds = changed.filter(target => target.isLeaving).map(target => target.id)
    if (removedIds.length + leavingIds.length > 0) log.emit('targetLeaving', { removedIds, leavingIds, revision })
  }

  follow(configurationPrefix(format), () => true, takeConfiguration, objects => takeConfiguration(objects))
  // A host that knows no targets yet reads them once, whatever its part.
  follow(format.targetPrefix, () => isReader() || fleet.revision() < 0, takeTargets, takeTargetChanges)

  async function follow (
    prefix: string,
    isNeeded: () => boolean,
    onList: (objects: readonly StoredObject[], revision: number) => void,
    onChanges: (objects: readonly StoredObject[], removedKeys: readonly string[], revision: number) => void
  ): Promise<void> {
    let revision: number | undefined
    let retryMs = RETRY_FIRST_MS
    while (!signal.aborted) {
      if (!isNeeded()) {
        if (revision !== undefined) log.emit('targetsLeftToReaders', { revision })
        revision = undefined
        standBack()
        await sleep(ROLE_CHECK_MS, { runtime, signal })
        continue
      }
      const cause = await step()
      noteResult(prefix, cause)
      if (cause === undefined) retryMs = RETRY_FIRST_MS
      else {
        await sleep(retryMs * (0.5 + runtime.random() / 2), { runtime, signal })
        retryMs = Math.min(RETRY_LONGEST_MS, retryMs * 2)
      }
    }

    async function step (): Promise<string | undefined> {
      if (revision === undefined) {
        const listed = await store.list(prefix)
        if (listed.kind === 'unavailable') return listed.cause
        noteResult(prefix, undefined)
        onList(listed.objects, listed.revision)
        revision = listed.revision
        return undefined
      }
      const watched = await store.watch(prefix, revision, { signal })
      if (signal.aborted) return undefined
      if (watched.kind === 'unavailable') return watched.cause
      if (watched.kind === 'reset' || watched.kind === 'silent') {
        revision = undefined
        if (watched.kind === 'silent') log.emit('watchReplaced', { prefix, afterMs: watched.afterMs })
        return undefined
      }
      noteResult(prefix, undefined)
      onChanges(watched.objects, watched.removedKeys ?? [], watched.revision)
      revision = watched.revision
      return undefined
    }
  }

  return {
    isConnected: () => isReader() && downSince.size === 0 && confirmedMs > -Infinity,
    hasConfigurationWatch: () => !downSince.has(configurationPrefix(format)),
    targetsAgeMs: () => runtime.monotonicMs() - confirmedMs
  }
}

function configurationPrefix (format: FleetFormat): string {
  return format.configurationKey.slice(0, format.configurationKey.indexOf('/') + 1)
}

function nameOf (key: string): string {
  return key.slice(key.indexOf('/') + 1)
}
