/**
 * The task of a daemon that follows the stored head.
 */
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { HEAD_KEY } from '../../ticket/constants.js'
import { loadConfiguration } from '../loadConfiguration/index.js'
import { restoreConfiguration } from '../restoreConfiguration/index.js'
import type { ConfigurationHolder } from '../types.js'

/** Waits between tries while the store is not available; doubled up to the maximum, with jitter. */
const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 2_000

/** Hosts that find the store behind write to it at different times within this span. */
const REPAIR_SPREAD_MS = 2_000

/** What the task works with. */
export interface WatchConfigurationOptions {
  store: ObjectStore
  holder: ConfigurationHolder
  log: EventLog
  runtime: Runtime
  signal: AbortSignal
}

/**
 * @name watchConfiguration
 * @summary Follows the stored head until the signal aborts.
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
  let available = true
  while (!signal.aborted) {
    const step = afterRevision === undefined
      ? await reload(options)
      : await follow(options, afterRevision)
    if (step.kind === 'at') {
      if (!available) log.emit('storeRecovered')
      available = true
      afterRevision = step.revision
      retryMs = FIRST_RETRY_MS
      continue
    }
    if (signal.aborted) return
    if (available) log.emit('storeUnavailable', { cause: step.cause, revision: holder.current().head.revision })
    available = false
    afterRevision = undefined
    await sleep(retryMs * (0.5 + runtime.random() / 2), { runtime, signal })
    retryMs = Math.min(retryMs * 2, MAX_RETRY_MS)
  }
}

type Step = { kind: 'at', revision: number | undefined } | { kind: 'unavailable', cause: string }

/** Lists to learn where to watch from, then loads the head. */
async function reload (options: WatchConfigurationOptions): Promise<Step> {
  const listed = await options.store.list(HEAD_KEY)
  if (listed.kind === 'unavailable') return listed
  const step = await load(options)
  return step.kind === 'unavailable' ? step : { kind: 'at', revision: listed.revision }
}

async function load (options: WatchConfigurationOptions): Promise<Step> {
  const { store, holder, log } = options
  try {
    const result = await loadConfiguration(store, { cached: holder.current() })
    if (result.kind === 'unavailable') return result
    if (result.configuration.head.revision < holder.current().head.revision) return await repair(options)
    holder.applyIfNewer(result.configuration, 'store')
    return { kind: 'at', revision: undefined }
  } catch (error) {
    const cause = (error as Error).message
    log.emit('configurationInvalid', { cause })
    return { kind: 'unavailable', cause }
  }
}

/** Writes what is in force back to a store that was restored to an older state. */
async function repair (options: WatchConfigurationOptions): Promise<Step> {
  const { store, holder, log, runtime, signal } = options
  await sleep(REPAIR_SPREAD_MS * runtime.random(), { runtime, signal })
  const result = await loadConfiguration(store, { cached: holder.current() })
  if (result.kind === 'unavailable') return result
  const inForce = holder.current()
  const { configuration: stored, headVersion } = result
  const { revision } = stored.head
  if (revision >= inForce.head.revision) {
    holder.applyIfNewer(stored, 'store')
    return { kind: 'at', revision: undefined }
  }
  log.emit('storeBehind', { revision, inForce: inForce.head.revision })
  const pause = async (attempt: number): Promise<void> => await sleep(FIRST_RETRY_MS * attempt, { runtime, signal })
  const restored = await restoreConfiguration(inForce, { store, stored, headVersion, pause })
  if (restored.kind === 'unavailable') return restored
  log.emit('storeRepaired', { from: revision, revision: inForce.head.revision })
  holder.confirm()
  return { kind: 'at', revision: undefined }
}

async function follow (options: WatchConfigurationOptions, afterRevision: number): Promise<Step> {
  const { store, holder, log, signal } = options
  const result = await store.watch(HEAD_KEY, afterRevision, { signal })
  if (result.kind === 'unavailable') return result
  if (result.kind === 'silent') log.emit('watchReplaced', { afterMs: result.afterMs })
  if (result.kind === 'reset' || result.kind === 'silent') return { kind: 'at', revision: undefined }
  if (result.objects.length === 0) {
    holder.confirm()
    return { kind: 'at', revision: result.revision }
  }
  const step = await load(options)
  return step.kind === 'unavailable' ? step : { kind: 'at', revision: result.revision }
}
