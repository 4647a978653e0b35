import test from 'ava'
import { buildConfiguration } from '../../src/configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../src/configuration/createConfigurationHolder/index.js'
import { createConfigurationExchange } from '../../src/peer/_lib/createConfigurationExchange.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

test('a peer with a newer revision is asked although other peers are as far behind as this daemon', async t => {
  const runtime = createManualRuntime()
  const log = createTestLog()
  const holder = createConfigurationHolder({ runtime, log })
  holder.applyIfNewer(buildConfiguration({ revision: 1, scopes: {}, nonce: 'n' }, new Map()), 'store')
  const exchange = createConfigurationExchange({ holder, runtime, log })
  t.is(exchange.requestIfBehind(2), undefined, 'the store watch gets time to deliver it first')
  exchange.requestIfBehind(1)
  await runtime.advance(1_000)
  exchange.requestIfBehind(1)
  t.is(exchange.requestIfBehind(2)?.aboveRevision, 1n)
})
