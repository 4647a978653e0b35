import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { DeadlineError } from '../../src/runtime/withDeadline/index.js'
import { buildStreamHead, encodeEvents, servePlatformEngine, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const plainTarget = (address: string): Target => ({ id: 'p-1', service: 'orders', address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 6 })
const engine = (address: string): Target => ({ ...plainTarget(address), id: 'i-1', service: 'model', kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

const REFUSES_TO_ANSWER: EngineScript = (_request, socket) => socket.destroy()
const BREAKS_OFF: EngineScript = (request, socket) => socket.end(buildStreamHead(request) + encodeEvents([1, 2]))

/** A gateway in front of one target, whose checks tell nothing for ever; `whenChecked` resolves with the first one. */
async function startWithEndlessChecks (script: EngineScript, endSignal?: AbortSignal) {
  let noteCheck = (): void => {}
  const whenChecked = new Promise<void>(resolve => { noteCheck = resolve })
  const standin = await servePlatformEngine(script)
  const isReachable = (): Promise<boolean> => {
    noteCheck()
    return new Promise(() => {})
  }
  const gateway = await startTestGateway([plainTarget(standin.address), engine(standin.address)], { configuration, control: { isReachable }, ...(endSignal === undefined ? {} : { endSignal }) })
  return {
    gateway,
    whenChecked,
    finalLine: () => gateway.parts.log.recent().find(({ number }) => number >= 3200 && number <= 3203),
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await standin[Symbol.asyncDispose]()
    }
  }
}

test('a call ends at its deadline although nobody can tell yet whether its target has ended', async t => {
  for (const path of ['/safe/x', '/unsafe/x']) {
    await using standing = await startWithEndlessChecks(REFUSES_TO_ANSWER)
    const { status } = await standing.gateway.send(path, { 'deadline-ms': '300' })
    t.is(status, 504, path)
    t.like(standing.finalLine(), { name: 'gatewayFailed', reason: 'deadlinePassed' }, path)
  }
})

test('a stream is cut at its deadline although nobody can tell yet whether its engine has ended', async t => {
  await using standing = await startWithEndlessChecks(BREAKS_OFF)
  const { status, isComplete } = await standing.gateway.send('/stream/x', { 'deadline-ms': '300' })
  t.deepEqual({ status, isComplete }, { status: 200, isComplete: false })
  t.like(standing.finalLine(), { name: 'gatewayFailed', reason: 'deadlinePassed', isCut: true })
})

test('a call is answered at the end of the grace period although nobody can tell yet whether its target has ended', async t => {
  const grace = new AbortController()
  await using standing = await startWithEndlessChecks(REFUSES_TO_ANSWER, grace.signal)
  const answered = standing.gateway.send('/safe/x')
  await standing.whenChecked
  grace.abort(new DeadlineError(0))
  t.is((await answered).status, 504)
})
