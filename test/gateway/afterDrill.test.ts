/** What hosts wrote to the store is gone once it has come back from a copy. */
import test from 'ava'
import { LEASE_KEY } from '../../src/control/types.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { createLeaderElection } from '../../src/gateway/_lib/createLeaderElection.js'
import { registerHost } from '../../src/gateway/_lib/discoverPeers.js'
import { createMemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

/** Longer than a lease lasts, in milliseconds. */
const LEASE_END_MS = 2_000

test('a host that takes the lease after a drill orders with a higher fencing number than any that it knows of', async t => {
  const store = createMemoryObjectStore()
  const runtime = createManualRuntime()
  const elect = (host: string) => createLeaderElection({ host, store, runtime, log: createTestLog(), metrics: createGatewayMetrics(), otherRoots: () => [], isRoot: () => true, isDraining: () => false, isReader: () => true, isStoreReachable: () => true })
  const [first, second] = [elect('a'), elect('b')]
  second.observeFencing(9)
  await second.step()
  t.is(second.fencing(), 10)
  await second.step()
  t.is(second.fencing(), 10)
  first.observeFencing(10)
  store.restore([], 0)
  await runtime.advance(LEASE_END_MS)
  await first.step()
  t.is(first.fencing(), 11)
  store.restore([{ key: LEASE_KEY, version: 1, value: { holder: 'b', nonce: 'x', fencing: 2, renewal: 0, durationMs: 1_500 } }], 1)
  await runtime.advance(LEASE_END_MS)
  second.observeFencing(11)
  await second.step()
  await runtime.advance(LEASE_END_MS)
  await second.step()
  t.is(second.fencing(), 12)
})

test('a host whose address a drill has taken out of the store writes it again', async t => {
  const store = createMemoryObjectStore()
  const runtime = createManualRuntime()
  const controller = new AbortController()
  let era = 1
  const advance = async (byMs: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < byMs; elapsedMs += 500) {
      await runtime.advance(500)
      await runtime.settle()
    }
  }
  registerHost({ host: 'a', ip: '10.0.0.1' }, { exchange: { addAddress: () => {}, isRoot: () => true, peers: () => [] }, store, storeEra: () => era, runtime, log: createTestLog(), signal: controller.signal })
  await advance(4_000)
  t.deepEqual(store.snapshot().map(({ key }) => key), ['hosts/a'])
  store.restore([], 0)
  await advance(8_000)
  t.deepEqual(store.snapshot(), [])
  era = 2
  await advance(8_000)
  t.deepEqual(store.snapshot().map(({ key, value }) => [key, value]), [['hosts/a', { ip: '10.0.0.1' }]])
  controller.abort()
})
