import test from 'ava'
import { buildConfiguration } from '../../src/configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../src/configuration/createConfigurationHolder/index.js'
import { createConfigurationExchange } from '../../src/peer/_lib/createConfigurationExchange.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

test('a peer that is ahead is asked though other peers are as far behind as this daemon', async t => {
  const runtime = createManualRuntime()
  const log = createTestLog()
  const holder = createConfigurationHolder({ runtime, log })
  holder.applyIfNewer(buildConfiguration({ revision: 1, scopes: {}, nonce: 'n' }, new Map()), 'store')
  const exchange = createConfigurationExchange({ holder, runtime, log })
  t.is(exchange.noteRevision(2), undefined, 'the store is given time first')
  exchange.noteRevision(1)
  await runtime.advance(1_000)
  exchange.noteRevision(1)
  t.is(exchange.noteRevision(2)?.aboveRevision, 1n)
})
