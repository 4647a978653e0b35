import { EventEmitter } from 'node:events'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { request } from 'undici'
import { drainOnSignal } from '../src/cli/_lib/drainOnSignal.js'
import { createManualRuntime } from './fakes/createManualRuntime.js'
import { OPERATOR_HEADERS, startLocalEntry } from './fakes/startLocalEntry.js'

type LocalEntry = Awaited<ReturnType<typeof startLocalEntry>>

/** Starts a drain, which withdraws readiness at once; aborting `cut` cuts it short. */
function startDrain ({ entry }: LocalEntry) {
  const cut = new AbortController()
  const drained = entry.drain({ signal: cut.signal }).then(() => entry[Symbol.asyncDispose]())
  return { cut, drained }
}

const readinessStatus = async ({ entry }: LocalEntry): Promise<number> => (await request(`${entry.daemon.operatorUrl}/health/ready`)).statusCode

/** Opens a stream and waits for its first token. */
async function openStream (local: LocalEntry, maxTokens: number) {
  const { body } = await local.complete({ max_tokens: maxTokens })
  const chunks = body[Symbol.asyncIterator]()
  const first = String((await chunks.next()).value)
  const readRest = async (): Promise<string> => {
    let text = first
    for (let next = await chunks.next(); !next.done; next = await chunks.next()) text += String(next.value)
    return text
  }
  return { readRest }
}

/** Sends a booking that takes effect, but whose answer the service withholds. */
async function bookWithoutAnswer (local: LocalEntry) {
  await local.setFaults('orders-1', { hold: true })
  return await local.book('k')
}

test('a draining entry is not ready, serves what still comes, finishes its streams and ends', async t => {
  await using local = await startLocalEntry()
  const stream = await openStream(local, 400)
  const { drained } = startDrain(local)
  t.is(await readinessStatus(local), 503)
  const late = await local.book('late')
  t.deepEqual([late.statusCode, late.headers.connection], [201, 'close'])
  await late.body.dump()
  local.endBalancerLag()
  t.true((await stream.readRest()).endsWith('data: [DONE]\n\n'))
  await drained
  t.is(local.entry.daemon.table.self().status, 'leaving')
})

test('a drain that is cut short ends each request with a verdict', async t => {
  await using local = await startLocalEntry({ log: { level: 'debug', file: '/dev/null' } })
  const stream = await openStream(local, 8_000)
  const booking = bookWithoutAnswer(local)
  const countAdmitted = (): number => local.entry.daemon.log.recent().filter(({ name }) => name === 'requestAdmitted').length
  while (countAdmitted() < 2) await new Promise(resolve => { setImmediate(resolve) })
  const { cut, drained } = startDrain(local)
  cut.abort()
  await drained
  t.regex(await stream.readRest(), /event: error\ndata: .*"reason":602.*"verdict":"mayHaveRun"/)
  const answer = await booking
  t.like(await answer.body.json(), { reason: 602, verdict: 'mayHaveRun' })
  t.is(answer.headers['retry-after'], '1')
  await local.setFaults('orders-1', { hold: false })
})

test('a second signal or the deadline cuts a drain short', async t => {
  const drain = ({ signal }: { signal: AbortSignal }): Promise<void> => new Promise(resolve => signal.addEventListener('abort', () => resolve()))
  for (const cutBy of ['signal', 'deadline']) {
    const signals = new EventEmitter()
    const runtime = createManualRuntime()
    const done = drainOnSignal({ drain }, { runtime, deadlineMs: 1_000, signals })
    signals.emit('SIGTERM')
    await runtime.settle()
    if (cutBy === 'signal') signals.emit('SIGINT')
    else await runtime.advance(1_000)
    t.false(await done)
    t.is(runtime.pendingTimers(), 0)
  }
})

test('a drain that finishes after one signal is complete', async t => {
  const signals = new EventEmitter()
  const done = drainOnSignal({ drain: async () => {} }, { runtime: createManualRuntime(), deadlineMs: 1_000, signals })
  signals.emit('SIGTERM')
  t.true(await done)
})

test('a ticket in flight is accepted by a daemon that drains', async t => {
  await using local = await startLocalEntry()
  const { entry } = local
  const body = new PassThrough()
  body.write('{"number":2,')
  const answer = request(`${entry.daemon.operatorUrl}/v1/tickets`, { method: 'POST', headers: OPERATOR_HEADERS, body })
  while (entry.daemon.operatorCalls.size() === 0) await new Promise(resolve => { setImmediate(resolve) })
  const { drained } = startDrain(local)
  local.endBalancerLag()
  body.end('"scopes":{"timeouts":{"connectMs":100}}}')
  t.is((await answer).statusCode, 200)
  await (await answer).body.dump()
  await drained
})
