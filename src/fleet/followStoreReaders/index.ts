/**
 * Follows the targets through a peer that reads them from the store, by long polling: one request
 * at a time, which the peer answers as soon as a target changes. After a reader has failed, or was
 * behind this host, the next request goes to another reader after a pause: a reader that is behind
 * answers at once with nothing new, so asking it again would loop.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'

/** A host that reads the targets from the store and serves them to its peers. */
export interface StoreReader {
  /** `ip:port` at which its state can be read. */
  address: string
  failureDomain: string
}

/** Options of `followStoreReaders`. */
export interface FollowStoreReadersOptions {
  /** Failure domain of this host. */
  ownDomain: string
  /** Whether this host reads the targets from the store itself. */
  isReader: () => boolean
  /** Peers that are readers and are connected to the store. */
  readers: () => StoreReader[]
  /** Waits for changes at a reader and applies them; resolves to whether it answered and is not behind this host. */
  pullChanges: (address: string) => Promise<boolean>
  runtime: Runtime
  signal: AbortSignal
}

/** State of the polling. */
export interface StoreReaderFollower {
  /** Whether the last request was answered. */
  isConnected: () => boolean
  /** Time since a reader last answered, in milliseconds. */
  ageMs: () => number
}

/** Pause when there is no reader or one has failed, in milliseconds; a fraction of the time in which the failure of a host is detected. */
const RETRY_MS = 100

/**
 * @name followStoreReaders
 * @summary Starts to poll the readers; stops when the signal aborts.
 * @param options - Readers, how to pull from one, runtime and signal.
 * @returns The state of the polling.
 *
 * @example
 * const readerFollower = followStoreReaders({ ownDomain: 'north', isReader, readers, pullChanges, runtime, signal })
 */
export function followStoreReaders (options: FollowStoreReadersOptions): StoreReaderFollower {
  const { ownDomain, isReader, readers, pullChanges, runtime, signal } = options
  let isConnected = false
  let failedAddress: string | undefined
  let answeredMs = -Infinity
  pollReaders()

  async function pollReaders (): Promise<void> {
    while (!signal.aborted) {
      const address = isReader() ? undefined : chooseReader()
      isConnected = address !== undefined && await pullChanges(address)
      failedAddress = isConnected ? undefined : address
      if (isConnected) answeredMs = runtime.monotonicMs()
      else await sleep(RETRY_MS, { runtime, signal })
    }
  }

  /** Address of a random reader, preferably not the one that has just failed, and then in this host's failure domain. */
  function chooseReader (): string | undefined {
    const known = readers()
    const others = known.filter(reader => reader.address !== failedAddress)
    const usable = others.length > 0 ? others : known
    const inOwnDomain = usable.filter(reader => reader.failureDomain === ownDomain)
    const candidates = inOwnDomain.length > 0 ? inOwnDomain : usable
    return candidates[Math.floor(runtime.random() * candidates.length)]?.address
  }

  return { isConnected: () => isConnected, ageMs: () => runtime.monotonicMs() - answeredMs }
}
