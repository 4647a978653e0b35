/**
 * Background task of a daemon that watches the stored head and puts new configurations into force.
 */
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { HEAD_KEY } from '../../ticket/constants.js'
import { loadConfiguration } from '../loadConfiguration/index.js'
import { restoreConfiguration } from '../restoreConfiguration/index.js'
import type { ConfigurationHolder } from '../types.js'

/** Bounds of the wait between attempts while the store is not available, which doubles each time and has jitter. */
const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 2_000

/** Hosts that find the store behind wait for a random part of this time, so that they do not all write to it at once. */
const REPAIR_SPREAD_MS = 2_000

/** Dependencies of the task. */
export interface WatchConfigurationOptions {
  store: ObjectStore
  holder: ConfigurationHolder
  log: EventLog
  runtime: Runtime
  signal: AbortSignal
}

/**
 * @name watchConfiguration
 * @summary Watches the stored head until the signal aborts.
 * @param options - Store, holder, log, runtime and the signal that ends the task.
 * @returns A promise that resolves when the task has ended.
 *
 * @example
 * const task = watchConfiguration({ store, holder, log, runtime, signal })
 */
export async function watchConfiguration (options: WatchConfigurationOptions): Promise<void> {
  const { holder, log, runtime, signal } = options
  let afterRevision: number | undefined
  let retryMs = FIRST_RETRY_MS
  let isStoreAvailable = true
  while (!signal.aborted) {
    const step = afterRevision === undefined
      ? await listAndLoadHead(options)
      : await awaitChange(options, afterRevision)
    if (step.kind === 'done') {
      if (!isStoreAvailable) log.emit('storeRecovered')
      isStoreAvailable = true
      afterRevision = step.revision
      retryMs = FIRST_RETRY_MS
      continue
    }
    if (signal.aborted) return
    if (isStoreAvailable) log.emit('storeUnavailable', { cause: step.cause, revision: holder.current().head.revision })
    isStoreAvailable = false
    afterRevision = undefined
    await sleep(retryMs * (0.5 + runtime.random() / 2), { runtime, signal })
    retryMs = Math.min(retryMs * 2, MAX_RETRY_MS)
  }
}

/** Result of one step; `revision` is the store revision to watch from, `undefined` to list again first. */
type StepResult = { kind: 'done', revision: number | undefined } | { kind: 'unavailable', cause: string }

/** Lists the head to learn the store revision to watch from, then loads the configuration. */
async function listAndLoadHead (options: WatchConfigurationOptions): Promise<StepResult> {
  const listed = await options.store.list(HEAD_KEY)
  if (listed.kind === 'unavailable') return listed
  const step = await loadHead(options)
  return step.kind === 'unavailable' ? step : { kind: 'done', revision: listed.revision }
}

/** Loads the stored configuration and puts it into force; repairs the store if it is behind. */
async function loadHead (options: WatchConfigurationOptions): Promise<StepResult> {
  const { store, holder, log } = options
  try {
    const result = await loadConfiguration(store, { cached: holder.current() })
    if (result.kind === 'unavailable') return result
    if (result.configuration.head.revision < holder.current().head.revision) return await repairStore(options)
    holder.applyIfNewer(result.configuration, 'store')
    return { kind: 'done', revision: undefined }
  } catch (error) {
    const cause = (error as Error).message
    log.emit('configurationInvalid', { cause })
    return { kind: 'unavailable', cause }
  }
}

/** Writes the configuration in force back to a store that was restored to an older state. */
async function repairStore (options: WatchConfigurationOptions): Promise<StepResult> {
  const { store, holder, log, runtime, signal } = options
  await sleep(REPAIR_SPREAD_MS * runtime.random(), { runtime, signal })
  const loaded = await loadConfiguration(store, { cached: holder.current() })
  if (loaded.kind === 'unavailable') return loaded
  const inForce = holder.current()
  const { configuration: stored, headVersion } = loaded
  const { revision } = stored.head
  if (revision >= inForce.head.revision) {
    holder.applyIfNewer(stored, 'store')
    return { kind: 'done', revision: undefined }
  }
  log.emit('storeBehind', { revision, inForce: inForce.head.revision })
  const pause = async (attempt: number): Promise<void> => await sleep(FIRST_RETRY_MS * attempt, { runtime, signal })
  const restored = await restoreConfiguration(inForce, { store, stored, headVersion, pause })
  if (restored.kind === 'unavailable') return restored
  log.emit('storeRepaired', { from: revision, revision: inForce.head.revision })
  holder.confirm()
  return { kind: 'done', revision: undefined }
}

/** Waits for a change of the head and loads it. */
async function awaitChange (options: WatchConfigurationOptions, afterRevision: number): Promise<StepResult> {
  const { store, holder, log, signal } = options
  const watched = await store.watch(HEAD_KEY, afterRevision, { signal })
  if (watched.kind === 'unavailable') return watched
  if (watched.kind === 'silent') log.emit('watchReplaced', { afterMs: watched.afterMs })
  if (watched.kind === 'reset' || watched.kind === 'silent') return { kind: 'done', revision: undefined }
  if (watched.objects.length === 0) {
    holder.confirm()
    return { kind: 'done', revision: watched.revision }
  }
  const step = await loadHead(options)
  return step.kind === 'unavailable' ? step : { kind: 'done', revision: watched.revision }
}
