import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createDurationModel } from './index.js'

test('a duration is expected from some answers of the route, and grows with the units', t => {
  const model = createDurationModel({ runtime: createManualRuntime() })
  for (const units of [50, 100, 200]) model.note('drafts', units, units * 20)
  t.is(model.expectMs('drafts', 100), undefined)
  model.note('drafts', 400, 8_000)
  t.is(model.expectMs('drafts', 100), 2_000)
  t.is(model.expectMs('bookings', 1), undefined)
})

test('what was learned long ago is not expected any more', async t => {
  const clock = createManualRuntime()
  const model = createDurationModel({ runtime: clock })
  for (let answer = 0; answer < 8; answer++) model.note('bookings', 1, 300)
  await clock.advance(59_000)
  t.is(model.expectMs('bookings', 1), 300)
  await clock.advance(2_000)
  t.is(model.expectMs('bookings', 1), undefined)
})

test('the routes that answered longest ago are forgotten first', t => {
  const model = createDurationModel({ runtime: createManualRuntime() })
  const noteAll = (route: string): void => { for (let answer = 0; answer < 4; answer++) model.note(route, 1, 300) }
  noteAll('first')
  for (let route = 0; route < 511; route++) noteAll(`r${route}`)
  t.is(model.expectMs('first', 1), 300)
  noteAll('last')
  t.is(model.expectMs('first', 1), undefined)
})
