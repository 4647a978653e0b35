/**
 * Discovers other hosts through objects in the store, which the roots of the tree of hosts write;
 * from then on digests carry the addresses. A host whose seeds answer needs no object.
 */
import { z } from 'zod'
import type { DigestExchange } from '../../digest/createDigestExchange/types.js'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'

const hostSchema = z.object({ ip: z.ipv4() })

/** Key prefix of the objects that hold the addresses of hosts. */
const HOST_PREFIX = 'hosts/'

/** Intervals between reads of the addresses, in milliseconds: while no peer is heard, and afterwards by roots, which may have lost sight of some hosts. */
const DISCOVERY_INTERVAL_MS = 1_000
const REFRESH_INTERVAL_MS = 30_000

/** Time after which a host that is still a root writes its address, in milliseconds; by then most hosts have found their place. */
const SETTLING_MS = 3_000

/** Delay after a failed write of this host's own object, in milliseconds. */
const RETRY_DELAY_MS = 500

interface DiscoveryOptions {
  exchange: Pick<DigestExchange, 'addAddress' | 'isRoot' | 'peers'>
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

interface RegistrationOptions extends DiscoveryOptions {
  /** Era of the store as far as this host knows; what was written in an earlier one may be lost. */
  storeEra: () => number | undefined
}

/** Writes this host's address to the store once it is a root, and again in each later era of the store. */
export async function registerHost (host: { host: string, ip: string }, options: RegistrationOptions): Promise<void> {
  const { exchange, storeEra, runtime, signal } = options
  await sleep(SETTLING_MS, { runtime, signal })
  while (!signal.aborted && !exchange.isRoot()) await sleep(SETTLING_MS, { runtime, signal })
  while (!signal.aborted) {
    const era = storeEra()
    await writeAddress(host, options)
    while (!signal.aborted && storeEra() === era) await sleep(SETTLING_MS, { runtime, signal })
  }
}

/** Writes the address, and retries until that succeeds. */
async function writeAddress (host: { host: string, ip: string }, { store, runtime, log, signal }: DiscoveryOptions): Promise<void> {
  const key = `${HOST_PREFIX}${host.host}`
  const value = { ip: host.ip }
  while (!signal.aborted) {
    const created = await store.write(key, value, { ifAbsent: true })
    if (created.kind === 'written') return
    if (created.kind !== 'conflict') log.emit('storeUnavailable', { prefix: HOST_PREFIX, cause: created.cause })
    else {
      const read = await store.read(key)
      if (read.kind === 'found') {
        if (hostSchema.safeParse(read.object.value).data?.ip === host.ip) return
        const replaced = await store.write(key, value, { ifVersion: read.object.version })
        if (replaced.kind === 'written') return
      }
    }
    await sleep(RETRY_DELAY_MS, { runtime, signal })
  }
}

/** Reads the addresses of hosts from the store while no peer is heard, and now and then at a root. */
export async function discoverPeers ({ exchange, store, runtime, log, signal }: DiscoveryOptions): Promise<void> {
  let readMs = runtime.monotonicMs()
  for (;;) {
    await sleep(DISCOVERY_INTERVAL_MS, { runtime, signal })
    if (signal.aborted) return
    const isDue = exchange.peers().length === 0 || (exchange.isRoot() && runtime.monotonicMs() - readMs >= REFRESH_INTERVAL_MS)
    if (!isDue) continue
    readMs = runtime.monotonicMs()
    const listed = await store.list(HOST_PREFIX, { mayBeStale: true })
    if (listed.kind === 'unavailable') log.emit('storeUnavailable', { prefix: HOST_PREFIX, cause: listed.cause })
    if (listed.kind === 'listed') {
      for (const { value } of listed.objects) {
        const parsed = hostSchema.safeParse(value)
        if (parsed.success) exchange.addAddress(parsed.data.ip)
      }
    }
  }
}
