import test from 'ava'
import { discoverPeers } from '../../src/gateway/_lib/discoverPeers.js'
import { createMemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

test('hosts are contacted only at addresses', async t => {
  const runtime = createManualRuntime()
  const store = createMemoryObjectStore()
  const values = [{ ip: '10.1.0.41' }, { ip: 'host' }, { ip: '999.1.1.1' }, { ip: '' }, { ip: 7 }, {}, null, [], { ip: '10.1.0.42' }]
  for (const [index, value] of values.entries()) await store.write(`hosts/h${index}`, value, { ifAbsent: true })
  const addresses: string[] = []
  const controller = new AbortController()
  const exchange = { addAddress: (ip: string) => { addresses.push(ip) }, isRoot: () => true, peers: () => [] }
  discoverPeers({ exchange, store, runtime, log: createTestLog(), signal: controller.signal })
  await runtime.advance(1_500)
  controller.abort()
  t.deepEqual(addresses, ['10.1.0.41', '10.1.0.42'])
})
