/**
 * Discovers peers through objects in the store; from then on their digests carry the addresses.
 */
import { z } from 'zod'
import type { DigestExchange } from '../../digest/createDigestExchange/index.js'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore } from '../../objectApi/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'

const hostSchema = z.object({ ip: z.string() })

/** Key prefix of the objects that hold the addresses of hosts. */
const HOST_PREFIX = 'hosts/'

/** Intervals between reads of the addresses, in milliseconds: while no peer is heard, and afterwards. */
const DISCOVERY_INTERVAL_MS = 1_000
const REFRESH_INTERVAL_MS = 30_000

/** Delay after a failed write of this host's own object, in milliseconds. */
const RETRY_DELAY_MS = 500

interface DiscoveryOptions {
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/** Writes this host's address to the store and retries until that succeeds. */
export async function registerHost (host: { host: string, ip: string }, { store, runtime, log, signal }: DiscoveryOptions): Promise<void> {
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

/** Reads the addresses of hosts from the store, more often while no peer is heard. */
export async function discoverPeers (exchange: DigestExchange, { store, runtime, log, signal }: DiscoveryOptions): Promise<void> {
  while (!signal.aborted) {
    const listed = await store.list(HOST_PREFIX)
    if (listed.kind === 'unavailable') log.emit('storeUnavailable', { prefix: HOST_PREFIX, cause: listed.cause })
    if (listed.kind === 'listed') {
      for (const { value } of listed.objects) {
        const parsed = hostSchema.safeParse(value)
        if (parsed.success) exchange.addAddress(parsed.data.ip)
      }
    }
    await sleep(exchange.peers().length === 0 ? DISCOVERY_INTERVAL_MS : REFRESH_INTERVAL_MS, { runtime, signal })
  }
}
