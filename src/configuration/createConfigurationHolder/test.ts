import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { buildConfiguration } from '../buildConfiguration/index.js'
import { createConfigurationHolder } from './index.js'

const configurationAt = (revision: number) => buildConfiguration({ revision, scopes: {}, nonce: 'n' }, new Map())

test('a lower revision is never put into force', t => {
  const holder = createConfigurationHolder({ runtime: createManualRuntime(), log: createTestLog() })
  t.true(holder.applyIfNewer(configurationAt(2), 'store'))
  t.false(holder.applyIfNewer(configurationAt(1), 'peer'))
  t.is(holder.current().head.revision, 2)
})

test('a holder is ready once it has received a configuration', t => {
  const holder = createConfigurationHolder({ runtime: createManualRuntime(), log: createTestLog() })
  t.false(holder.isReady())
  holder.applyIfNewer(configurationAt(0), 'store')
  t.true(holder.isReady())
})
