/**
 * Follows the targets through a host that reads them from the store: one request at a time, which
 * that host answers as soon as a target changes. A reader that fails, or is behind what this host
 * knows, is left for another one: asked again at once it would answer at once, with nothing new.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'

/** A host that reads the targets from the store. */
export interface StoreReader {
  /** `ip:port` at which its state can be read. */
  address: string
  failureDomain: string
}

/** What following works with. */
export interface FollowStoreReadersOptions {
  ownDomain: string
  /** Whether this host reads the targets itself. */
  isReader: () => boolean
  /** Readers whom the store answers. */
  readers: () => StoreReader[]
  /** Waits for changes at a reader and applies them; says whether it answered and is not behind. */
  pullChanges: (address: string) => Promise<boolean>
  runtime: Runtime
  signal: AbortSignal
}

/** State of the connection to the readers. */
export interface StoreReaderFollower {
  /** Whether the last wait was answered. */
  isConnected: () => boolean
  /** Time since a reader last answered, in milliseconds. */
  ageMs: () => number
}

/** Wait while there is no reader, or after one has failed, in milliseconds; a part of the time in which its failure is known. */
const RETRY_MS = 100

/**
 * @name followStoreReaders
 * @summary Starts to follow until the signal aborts.
 * @param options - Readers, how to read from one, runtime and signal.
 * @returns The state of the connection.
 *
 * @example
 * const readerFollower = followStoreReaders({ ownDomain: 'north', isReader, readers, pullChanges, runtime, signal })
 */
export function followStoreReaders (options: FollowStoreReadersOptions): StoreReaderFollower {
  const { ownDomain, isReader, readers, pullChanges, runtime, signal } = options
  let isConnected = false
  let failed: string | undefined
  let answeredMs = -Infinity
  follow()

  async function follow (): Promise<void> {
    while (!signal.aborted) {
      const address = isReader() ? undefined : chooseReader()
      isConnected = address !== undefined && await pullChanges(address)
      failed = isConnected ? undefined : address
      if (isConnected) answeredMs = runtime.monotonicMs()
      else await sleep(RETRY_MS, { runtime, signal })
    }
  }

  /** One of the own domain where there is one, but not the one that has just failed. */
  function chooseReader (): string | undefined {
    const known = readers()
    const others = known.filter(reader => reader.address !== failed)
    const usable = others.length > 0 ? others : known
    const near = usable.filter(reader => reader.failureDomain === ownDomain)
    const choice = near.length > 0 ? near : usable
    return choice[Math.floor(runtime.random() * choice.length)]?.address
  }

  return { isConnected: () => isConnected, ageMs: () => runtime.monotonicMs() - answeredMs }
}
