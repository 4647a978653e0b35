import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const engine = (id: string, address: string): Target => ({ id, service: 'model', address, failureDomain: 'north', bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

/** Answers with the given header lines. */
const streaming = (...headers: string[]): EngineScript => (request, socket) => {
  const head = headers.reduce((lines, header) => lines.replace('\r\n', `\r\n${header}\r\n`), buildStreamHead(request))
  socket.end(head + encodeEvents([1, 2]) + STREAM_END)
}

/** Requests in four seconds that the rule allows an engine that names a rate. */
const allowedRequests = (limitPerS: number): number => 1.5 * 4 * limitPerS + 5

test('an engine that names the rate it takes gets no more, and the others serve the rest', async t => {
  await using limited = await servePlatformEngine(streaming('Server-Limit: 2.0'))
  await using free = await servePlatformEngine(streaming())
  await using gateway = await startTestGateway([engine('i-1', limited.address)], { configuration })
  t.is((await gateway.send('/stream/x')).status, 200)
  gateway.parts.fleet.applyChanges({ revision: 2, changed: [engine('i-2', free.address)], removedIds: [] })
  const answers = await Promise.all(Array.from({ length: 60 }, () => gateway.send('/stream/x')))
  t.true(limited.received.length - 1 <= allowedRequests(2), `${limited.received.length - 1} requests`)
  t.true(answers.every(({ status, isComplete }) => status === 200 && isComplete))
})

test('a rate that cannot be read is ignored and logged, and an answer without one lifts it', async t => {
  const values = ['2.0', '-1', 'soon', undefined]
  await using target = await servePlatformEngine((request, socket) => {
    const value = values.shift()
    return streaming(...value === undefined ? [] : [`Server-Limit: ${value}`])(request, socket)
  })
  await using gateway = await startTestGateway([engine('i-1', target.address)], { configuration })
  const { targetLimits, log } = gateway.parts
  const counts: number[] = []
  for (let call = 0; call < 4; call++) {
    await gateway.send('/stream/x')
    counts.push(targetLimits.count())
  }
  t.deepEqual(counts, [1, 1, 1, 0])
  t.is(log.recent().filter(({ name }) => name === 'answerFieldInvalid').length, 2)
})

test('a call that no target takes for its rate is refused as overloaded, not as if none could be reached', async t => {
  await using target = await servePlatformEngine((request, socket) => socket.end(buildAnswer(request, 'done', { headers: ['Server-Limit: 0.5'] })))
  await using gateway = await startTestGateway([{ ...engine('o-1', target.address), service: 'orders' }])
  t.is((await gateway.send('/safe/x')).status, 200)
  t.is((await gateway.send('/safe/x')).status, 200)
  t.like(await gateway.send('/safe/x'), { status: 503 })
  t.is(gateway.parts.log.recent().find(({ name }) => name === 'gatewayRefused')?.reason, 'overloaded')
})
