import test from 'ava'
import fc from 'fast-check'
import type { Target } from '../../fleet/types.js'
import { buildEngine } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import { createTestLog } from '../../../test/fakes/createTestLog.js'
import type { RequestTraits } from '../types.js'
import { createCrashEvidence } from './index.js'

const TOLD_MS = 350

/** Time after which a crash counts. */
const SETTLING_MS = 300

/** A request whose repeats have the same prompt. */
const requestOf = (service: string, ...promptParts: string[]): RequestTraits => ({ service, fingerprint: promptParts.join('-'), promptParts })

function createHost (runtime = createManualRuntime()) {
  const log = createTestLog()
  const evidence = createCrashEvidence({ runtime, log })
  let crashes = 0
  /** One more engine ends under a prompt. */
  const crash = (...parts: string[]): void => evidence.noteCrash(requestOf('model', ...parts), buildEngine(`i-${crashes++}`, 'north', 'large'))
  return { runtime, log, evidence, crash, isFound: (...parts: string[]): boolean => evidence.findCrashing(requestOf('model', ...parts)) !== undefined }
}

test('requests with a part that crashes engines are recognized whatever else they hold', async t => {
  const { runtime, evidence, log, crash, isFound } = createHost()
  let calls = 0
  using subscription = evidence.onFound(() => { calls++ })
  for (const request of ['1', '2', '3']) crash('5c1e', 'bad', request)
  await runtime.advance(SETTLING_MS)
  crash('f00d', 'bad', '4')
  t.is(evidence.settlingMs(requestOf('model', 'bad', '9')), SETTLING_MS)
  t.is(evidence.settlingMs(requestOf('model', 'f00d', '9')), 0)
  await runtime.advance(SETTLING_MS)
  t.true(isFound('0', 'bad', '9'))
  t.false(isFound('5c1e', '9'))
  t.false(isFound('5c1e', 'f00d', 'bad'), 'the last part belongs to the request')
  t.is(evidence.findCrashing(requestOf('other', 'bad', '9')), undefined)
  t.is(calls, 2)
  subscription[Symbol.dispose]()
  t.deepEqual(log.recent().filter(({ name }) => name === 'promptPartCrashing').at(-1)?.parts, ['bad'])
  t.deepEqual(evidence.counts('part'), { suspected: 2, crashing: 1 })
})

test('a part that was answered shortly before is not suspected, and an answer later clears it', async t => {
  const { runtime, evidence, crash, isFound } = createHost()
  evidence.noteAnswered(requestOf('model', '5c1e', '1'))
  for (const request of ['1', '2', '3', '4']) crash('5c1e', request)
  await runtime.advance(SETTLING_MS)
  t.false(isFound('5c1e', '9'))
  await runtime.advance(60_000)
  for (const request of ['1', '2', '3']) crash('5c1e', request)
  await runtime.advance(SETTLING_MS)
  t.true(isFound('5c1e', '9'))
  evidence.noteAnswered(requestOf('model', '5c1e', '8'))
  t.false(isFound('5c1e', '9'))
})

test('time alone clears nothing within the hour', async t => {
  const { runtime, crash, isFound } = createHost()
  for (const request of ['1', '2', '3']) crash('bad', request)
  await runtime.advance(3_500_000)
  t.true(isFound('bad', '9'))
})

test('hosts that saw one crash each find the part together', async t => {
  const runtime = createManualRuntime()
  const hosts = [createHost(runtime), createHost(runtime), createHost(runtime)]
  for (const [index, { evidence }] of hosts.entries()) evidence.noteCrash(requestOf('model', '5c1e', 'bad', String(index)), buildEngine(`i-${index}`, 'north', 'large'))
  hosts[2]!.evidence.noteAnswered(requestOf('model', '5c1e', '7'))
  for (const from of hosts) for (const to of hosts) if (from !== to) to.evidence.applyNews(from.evidence.newsFor('x'))
  for (const from of hosts) for (const to of hosts) if (from !== to) to.evidence.applyNews(from.evidence.newsFor('x'))
  await runtime.advance(SETTLING_MS)
  for (const { isFound } of hosts) t.deepEqual([isFound('0', 'bad', '9'), isFound('5c1e', '9')], [true, false])
})

test('an answer that another host gave voids what is held against a part', async t => {
  const runtime = createManualRuntime()
  const [one, other] = [createHost(runtime), createHost(runtime)]
  one.evidence.noteAnswered(requestOf('model', '5c1e', '7'))
  for (const request of ['1', '2', '3']) other.crash('5c1e', request)
  await runtime.advance(SETTLING_MS)
  t.true(other.isFound('5c1e', '9'))
  t.true(one.evidence.applyNews(other.evidence.newsFor('one')))
  t.true(other.evidence.applyNews(one.evidence.newsFor('other')))
  t.false(other.isFound('5c1e', '9'))
  t.false(one.evidence.applyNews(other.evidence.newsFor('one')), 'nothing is told back and forth')
})

test('what is old is told again at intervals, so that a host that starts later learns it', async t => {
  const { runtime, evidence, crash } = createHost()
  for (const request of ['1', '2', '3']) crash('bad', request)
  evidence.newsFor('a')
  await runtime.advance(TOLD_MS + 1)
  t.is(evidence.newsFor('a').sightings.length, 0)
  await runtime.advance(500)
  const late = createHost(runtime)
  late.evidence.applyNews(evidence.newsFor('a'))
  await runtime.advance(SETTLING_MS)
  t.true(late.isFound('bad', '9'))
  t.is(late.evidence.findCrashing(requestOf('model', 'bad', '9'))?.lastCrashAgeMs, TOLD_MS + 501 + SETTLING_MS)
})

test('callers that send many different parts push nothing out and do not fill the memory', async t => {
  const { runtime, evidence, crash, isFound } = createHost()
  for (const request of ['1', '2', '3']) crash('bad', request)
  for (let index = 0; index < 5_000; index++) {
    crash(`a${index}`, `b${index}`, String(index))
    evidence.noteAnswered(requestOf('model', `c${index}`, String(index)))
  }
  await runtime.advance(SETTLING_MS)
  t.true(isFound('bad', '9'))
  t.true(evidence.counts('part').suspected <= 512)
  t.true(evidence.newsFor('a').sightings.length <= 40)
  t.true(evidence.newsFor('b').sightings.some(({ part }) => part === 'bad'))
})

test('a crash counts only when the hosts have told all prompts that it struck', async t => {
  const runtime = createManualRuntime()
  const [one, other] = [createHost(runtime), createHost(runtime)]
  const [first, second, third] = ['i-1', 'i-2', 'i-3'].map(id => buildEngine(id, 'north', 'large')) as [Target, Target, Target]
  for (const [index, engine] of [first, second, third].entries()) one.evidence.noteCrash(requestOf('model', '5c1e', String(index)), engine)
  await runtime.advance(SETTLING_MS - 1)
  for (const [index, engine] of [first, second, third].entries()) other.evidence.noteCrash(requestOf('model', 'bad', `b${index}`), engine)
  one.evidence.applyNews(other.evidence.newsFor('one'))
  await runtime.advance(1)
  t.false(one.isFound('5c1e', '9'))
})

test('a part is served again once its crashes are an hour old, also at a host that tells others of them', async t => {
  for (const isTelling of [false, true]) {
    const { runtime, evidence, crash, isFound } = createHost()
    for (const request of ['1', '2', '3']) crash('bad', request)
    await runtime.advance(3_600_001)
    if (isTelling) evidence.newsFor('a')
    t.false(isFound('bad', '9'))
    t.deepEqual(evidence.counts('part'), { suspected: 0, crashing: 0 })
  }
})

test('three crashes under repeats of one request are held against it alone, at every service', async t => {
  const { runtime, log, evidence, crash, isFound } = createHost()
  crash('5c1e', '1')
  t.is(evidence.settlingMs(requestOf('model', '5c1e', '1')), 0)
  crash('5c1e', '1')
  t.is(evidence.settlingMs(requestOf('model', '5c1e', '1')), SETTLING_MS)
  crash('5c1e', '1')
  await runtime.advance(SETTLING_MS)
  t.like(evidence.findCrashing(requestOf('other', '5c1e', '1')), { kind: 'request', crashes: 3, lastCrashAgeMs: SETTLING_MS })
  t.false(isFound('5c1e', '2'))
  t.deepEqual(evidence.counts('request'), { suspected: 0, crashing: 1 })
  t.deepEqual(log.recent().filter(({ name }) => name.startsWith('request')).map(({ name }) => name), ['requestSuspected', 'requestCrashing'])
  evidence.noteAnswered(requestOf('model', '5c1e', '1'))
  t.is(evidence.findCrashing(requestOf('model', '5c1e', '1')), undefined)
})

test('a request that many callers send is not suspected while it is answered in between', async t => {
  const { runtime, evidence, crash } = createHost()
  for (let index = 0; index < 5; index++) {
    evidence.noteAnswered(requestOf('model', 'popular'))
    await runtime.advance(9_000)
    crash('popular')
  }
  await runtime.advance(SETTLING_MS)
  t.is(evidence.findCrashing(requestOf('model', 'popular')), undefined)
  for (let index = 0; index < 3; index++) {
    await runtime.advance(2_000)
    crash('popular')
  }
  await runtime.advance(SETTLING_MS)
  t.not(evidence.findCrashing(requestOf('model', 'popular')), undefined, 'its last answer is too long ago')
})

test('callers that send many requests that crash one engine each push out none that crashed several', async t => {
  const { runtime, evidence, crash } = createHost()
  for (let index = 0; index < 3; index++) crash('repeated')
  for (let index = 0; index < 3_000; index++) crash(`once-${index}`)
  await runtime.advance(SETTLING_MS)
  t.is(evidence.findCrashing(requestOf('model', 'repeated'))?.crashes, 3)
  t.true(evidence.newsFor('a').sightings.some(({ request }) => request === 'repeated'))
})

test('a crash counts also if its time comes while the evidence is being looked at', t => {
  let nowMs = 0
  const due: Array<{ atMs: number, callback: () => void }> = []
  const runtime = {
    ...createManualRuntime(),
    monotonicMs () {
      nowMs += 0.01
      return nowMs
    },
    setTimer (delayMs: number, callback: () => void) {
      due.push({ atMs: nowMs + delayMs, callback })
      return { [Symbol.dispose]: () => {} }
    }
  }
  for (let earlyMs = 0; earlyMs < 0.2; earlyMs += 0.005) {
    const { evidence, crash } = createHost(runtime)
    let isFound = false
    evidence.onFound(() => { isFound = true })
    for (const request of ['1', '2', '3']) crash('bad', request)
    // Each timer fires a little early, so that a later look at the clock finds its time passed.
    for (let timer = due.shift(); timer !== undefined; timer = due.shift()) {
      nowMs = Math.max(nowMs, timer.atMs - earlyMs)
      timer.callback()
    }
    t.true(isFound, `timer ${earlyMs} ms early`)
  }
})

test('two parts that crash engines leave requests with the first part that they share served', async t => {
  const { runtime, evidence, crash, isFound } = createHost()
  evidence.noteAnswered(requestOf('model', 'shared', '0'))
  await runtime.advance(61_000)
  crash('shared', 'bad-1', '1')
  crash('shared', 'bad-1', '1')
  crash('shared', 'bad-2', '2')
  await runtime.advance(SETTLING_MS)
  t.deepEqual([['shared', '3'], ['shared', 'bad-1', '3'], ['shared', 'bad-2', '3'], ['shared', 'other', '3']].map(parts => isFound(...parts)), [false, true, true, false])
  evidence.noteAnswered(requestOf('model', 'shared', '3'))
  crash('shared', 'bad-1', '4')
  await runtime.advance(SETTLING_MS)
  t.deepEqual([['shared', '5'], ['shared', 'bad-1', '5'], ['else', 'bad-1', '5']].map(parts => isFound(...parts)), [false, true, true])
})

/** One host on whose engines two parts, which stand before what their prompts share, have ended one each and two. */
async function createDoubtingHost () {
  const host = createHost()
  host.crash('bad-1', 'shared', '1')
  host.crash('bad-1', 'shared', '1')
  host.crash('bad-2', 'shared', '2')
  await host.runtime.advance(SETTLING_MS)
  return host
}

/** Time without a crash after which a request may be tried. */
const TRIAL_DELAY_MS = 4_000

test('a part that others may explain is tried, and an answer clears it', async t => {
  const { runtime, log, evidence, isFound } = await createDoubtingHost()
  t.true(isFound('shared', '3'))
  await runtime.advance(TRIAL_DELAY_MS)
  t.true(isFound('bad-1', 'shared', '4'), 'a request with another suspect would show nothing')
  t.false(isFound('shared', '5'))
  t.true(isFound('shared', '6'), 'one at a time')
  t.false(isFound('shared', '5'), 'it is tried until it has an answer')
  t.is(log.recent().filter(({ name }) => name === 'promptPartTried').length, 1)
  evidence.noteAnswered(requestOf('model', 'shared', '5'))
  t.false(isFound('shared', '6'))
})

test('a part that crashes engines whenever it is tried is not tried after the sixth crash', async t => {
  const { runtime, crash, isFound } = await createDoubtingHost()
  let tried = 0
  for (let index = 3; index < 50; index++) {
    await runtime.advance(TRIAL_DELAY_MS)
    if (isFound('shared', String(index))) continue
    crash('shared', String(index))
    tried++
  }
  t.true(tried <= 3, `${tried} requests tried`)
})

test('a part that only it explains is not tried, nor at hosts that sent no request which took part', async t => {
  const { runtime, crash, isFound } = createHost()
  for (const request of ['1', '2', '3']) crash('bad', request)
  await runtime.advance(TRIAL_DELAY_MS + SETTLING_MS)
  t.true(isFound('bad', '9'))
  const witness = await createDoubtingHost()
  const other = createHost(witness.runtime)
  other.evidence.applyNews(witness.evidence.newsFor('other'))
  await witness.runtime.advance(TRIAL_DELAY_MS)
  t.deepEqual([other.isFound('shared', '3'), witness.isFound('shared', '3')], [true, false])
})

test('hosts whose requests took part in the same crashes try one after the other', async t => {
  const runtime = createManualRuntime()
  const hosts = [createHost(runtime), createHost(runtime)]
  const engines = ['i-1', 'i-2', 'i-3'].map(id => buildEngine(id, 'north', 'large'))
  for (const [engineIndex, engine] of engines.entries()) {
    for (const [index, { evidence }] of hosts.entries()) evidence.noteCrash(requestOf('model', `bad-${engineIndex % 2}`, 'shared', `${index}${engineIndex}`), engine)
    // News is told later than the own crash is known.
    await runtime.advance(10)
    for (const [index, { evidence }] of hosts.entries()) hosts[1 - index]!.evidence.applyNews(evidence.newsFor('x'))
  }
  await runtime.advance(SETTLING_MS)
  const tries: number[] = []
  for (let timeMs = 0; timeMs < 12_000; timeMs += 500) {
    for (const [index, { isFound }] of hosts.entries()) if (!isFound('shared', 'new') && !tries.includes(index)) tries.push(index)
    if (timeMs === 1_000) t.deepEqual(tries, [])
    if (timeMs === 6_000) t.is(tries.length, 1)
    await runtime.advance(500)
  }
  t.true(tries.length >= 1)
})

/** Engine crashes after which a part must be known, and requests that may still reach engines. */
const CRASHES_TO_KNOW = 5
const REQUESTS_AFTER = 3

/** One part or two that crash engines, before or behind the others of their prompts. */
const CRASHING_PROMPTS = [{ firsts: 1, bads: 1, isFront: false }, { firsts: 1, bads: 2, isFront: false }, { firsts: 2, bads: 2, isFront: false }, { firsts: 2, bads: 1, isFront: true }, { firsts: 1, bads: 2, isFront: true }]

for (const { firsts, bads, isFront } of CRASHING_PROMPTS) {
  test(`few requests with parts that crash engines reach any, and most sound ones are served: ${bads} ${isFront ? 'before' : 'behind'} ${firsts}`, async t => {
    const prompts = fc.array(fc.record({ first: fc.nat(firsts - 1), bad: fc.option(fc.nat(bads - 1)), middle: fc.nat(11) }), { minLength: 80, maxLength: 80 })
    await fc.assert(fc.asyncProperty(prompts, fc.nat(30), async (sent, soundFrom) => {
      const { runtime, evidence, crash } = createHost()
      const crashes = new Map<number, number>()
      let [sound, refused] = [0, 0]
      for (const [index, { first, bad, middle }] of sent.entries()) {
        const badParts = bad === null ? [] : [`bad-${bad}`]
        const parts = [...(isFront ? badParts : []), `first-${first}`, ...(isFront ? [] : badParts), `middle-${middle}`, String(index)]
        await runtime.advance(400)
        // No sound request comes before a moment, so that nothing speaks for the parts that it shares.
        if (bad === null && index < soundFrom) continue
        const isRefused = evidence.findCrashing(requestOf('model', ...parts)) !== undefined
        if (bad === null) {
          sound++
          if (isRefused) refused++
          else evidence.noteAnswered(requestOf('model', ...parts))
        } else if (!isRefused) {
          crashes.set(bad, (crashes.get(bad) ?? 0) + 1)
          crash(...parts)
        }
      }
      for (const [part, count] of crashes) t.true(count <= CRASHES_TO_KNOW + REQUESTS_AFTER, `bad-${part}: ${count} crashes`)
      t.true(refused <= sound / 2, `${refused} of ${sound} sound requests refused`)
    }), { seed: 29, numRuns: 200 })
  })
}
