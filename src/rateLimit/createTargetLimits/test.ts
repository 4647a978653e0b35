import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import { createTargetLimits } from './index.js'

const STEP_MS = 25
const WINDOW_MS = 4_000

/** Hosts that send a target whatever it takes, for some seconds; returns the times of the requests in milliseconds. */
async function sendAll (hostCount: number, limitPerS: number, seconds: number): Promise<number[]> {
  const runtime = createManualRuntime()
  const ips = Array.from({ length: hostCount }, (_, index) => `10.1.0.${index}`)
  const hosts = ips.map(ownIp => createTargetLimits({ runtime, log: createTestLog(), ownIp, otherIps: () => ips.filter(ip => ip !== ownIp) }))
  for (const host of hosts) host.note('i-1', limitPerS)
  const times: number[] = []
  for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += STEP_MS) {
    for (const host of hosts) {
      while (host.mayTake('i-1')) {
        host.take('i-1')
        times.push(elapsedMs)
      }
    }
    await runtime.advance(STEP_MS)
  }
  return times
}

test('a target gets no more in four seconds than one and a half times its rate and five requests, and most of its rate', async t => {
  for (const [hostCount, limitPerS] of [[1, 14.9], [7, 14.9], [7, 2.4], [7, 0], [40, 12.8], [40, 1]] as const) {
    const times = await sendAll(hostCount, limitPerS, 10)
    for (const startMs of times) {
      const inWindow = times.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length
      t.true(inWindow <= 1.5 * limitPerS * WINDOW_MS / 1_000 + 5, `${hostCount} hosts, ${limitPerS} a second: ${inWindow}`)
    }
    t.true(times.length >= 0.9 * limitPerS * 10, `${hostCount} hosts, ${limitPerS} a second: ${times.length}`)
  }
})

test('an answer without a rate lifts it', t => {
  const limits = createTargetLimits({ runtime: createManualRuntime(), log: createTestLog(), ownIp: 'a', otherIps: () => [] })
  limits.note('i-1', 1)
  limits.take('i-1')
  t.false(limits.mayTake('i-1'))
  t.is(limits.count(), 1)
  limits.note('i-1', undefined)
  t.true(limits.mayTake('i-1'))
  t.is(limits.count(), 0)
})

test('the later of two statements holds, whichever host was told it', async t => {
  const runtime = createManualRuntime()
  const create = () => createTargetLimits({ runtime, log: createTestLog(), ownIp: 'a', otherIps: () => [] })
  const [one, other] = [create(), create()]
  one.note('i-1', 1)
  await runtime.advance(100)
  other.note('i-1', 2)
  other.note('i-1', undefined)
  for (const limit of other.share()) one.applyPeerLimit(limit)
  t.is(one.count(), 0)
  other.applyPeerLimit({ targetId: 'i-1', limitPerS: 1, ageMs: 100 })
  t.is(other.count(), 0)
  t.deepEqual(other.share(), [{ targetId: 'i-1', limitPerS: null, ageMs: 0 }])
})

test('statements of targets that are gone are dropped', t => {
  const limits = createTargetLimits({ runtime: createManualRuntime(), log: createTestLog(), ownIp: 'a', otherIps: () => [] })
  limits.note('i-1', 1)
  limits.retain(new Set(['i-2']))
  t.is(limits.count(), 0)
})

test('the order of the hosts is computed once for a list of hosts, however many targets name rates', async t => {
  const runtime = createManualRuntime()
  let reads = 0
  const ips = Array.from({ length: 194 }, (_, index) => `10.1.0.${index}`)
  const countReads: ProxyHandler<string[]> = {
    get (list, key, receiver) {
      if (typeof key === 'string' && /^\d+$/.test(key)) reads++
      return Reflect.get(list, key, receiver)
    }
  }
  const limits = createTargetLimits({ runtime, log: createTestLog(), ownIp: 'a', otherIps: () => new Proxy([...ips], countReads) })
  const targetIds = Array.from({ length: 200 }, (_, index) => `i-${index}`)
  for (let round = 0; round < 20; round++) {
    for (const [index, id] of targetIds.entries()) {
      limits.note(id, 10 + (index + round) % 3)
      limits.mayTake(id)
    }
    await runtime.advance(501)
  }
  t.true(reads <= 2 * ips.length * targetIds.length, `${reads}`)
})
