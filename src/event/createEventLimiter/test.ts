import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createEventLimiter } from './index.js'

test('an event above its rate is dropped and counted, and other events are written', async t => {
  const runtime = createManualRuntime()
  const limiter = createEventLimiter({ linesPerS: 10, runtime })
  const written = Array.from({ length: 25 }, () => limiter.admits('gatewayRefused')).filter(Boolean).length
  t.is(written, 10)
  t.true(limiter.admits('gatewayAnswered'))
  t.is(limiter.takeDropped(), undefined)
  await runtime.advance(1_000)
  t.true(limiter.admits('gatewayRefused'))
  t.deepEqual(limiter.takeDropped(), { gatewayRefused: 15 })
  t.is(limiter.takeDropped(), undefined)
})
