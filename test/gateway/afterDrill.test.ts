/** What hosts wrote to the store is gone once it has come back from a copy. */
import test from 'ava'
import { LEASE_KEY } from '../../src/control/types.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { createLeaderElection } from '../../src/gateway/_lib/createLeaderElection.js'
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
