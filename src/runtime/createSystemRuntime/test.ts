import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { standStillForCaller } from '../../../test/fakes/standStill.js'
import { createSystemRuntime } from './index.js'

/** Longer than the delay of the timer by more than what counts as late, in milliseconds. */
const STANDSTILL_MS = 200

test('a timer that is late after a standstill runs after what arrived meanwhile was read', async t => {
  const happened: string[] = []
  let noteBoth = (): void => {}
  const both = new Promise<void>(resolve => { noteBoth = resolve })
  const note = (what: string): void => { if (happened.push(what) === 2) noteBoth() }
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      createSystemRuntime().setTimer(STANDSTILL_MS / 2, () => note('timer'))
      socket.write('hello')
      socket.once('data', () => note('answer'))
    })
  }).listen(0, '127.0.0.1')
  t.teardown(() => server.close())
  await once(server, 'listening')
  await standStillForCaller(`127.0.0.1:${(server.address() as AddressInfo).port}`, { greeting: 'hello', text: 'answer', forMs: STANDSTILL_MS })
  await both
  t.deepEqual(happened, ['answer', 'timer'])
})

test('a late timer that is disposed of before it runs does not run', async t => {
  let runs = 0
  const timer = createSystemRuntime().setTimer(0, () => { runs++ })
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STANDSTILL_MS)
  // Due before the timer's own turn, or between that and its run.
  setImmediate(() => timer[Symbol.dispose]())
  await new Promise(resolve => { setTimeout(resolve, 1) })
  await new Promise(resolve => { setImmediate(resolve) })
  t.is(runs, 0)
})

test('a timer does not run before its delay has passed on the monotonic clock', async t => {
  const runtime = createSystemRuntime()
  const earlyMs = await Promise.all(Array.from({ length: 300 }, async (_, index) => {
    // Spreads the timers over the milliseconds to which the event loop rounds its clock.
    await new Promise(resolve => { setTimeout(resolve, index / 30) })
    return await new Promise<number>(resolve => {
      const dueMs = runtime.monotonicMs() + 15
      runtime.setTimer(15, () => resolve(dueMs - runtime.monotonicMs()))
    })
  }))
  t.deepEqual(earlyMs.filter(early => early > 0), [])
})

test('a delay beyond what the timers of Node.js take does not end at once', async t => {
  let runs = 0
  const timer = createSystemRuntime().setTimer(2 ** 40, () => { runs++ })
  t.teardown(() => timer[Symbol.dispose]())
  // The timer would be early after a millisecond.
  await new Promise(resolve => { setTimeout(resolve, 20) })
  t.is(runs, 0)
})
