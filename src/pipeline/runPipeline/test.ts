import test, { type ExecutionContext } from 'ava'
import { buildTestConfiguration } from '../../../test/fakes/buildTestConfiguration.js'
import { STAGE_BOUNDARIES, createAnswerRig, type AnswerRig, type RunningAnswer } from '../../../test/fakes/createAnswerRig.js'

/** Runs an answer to its end and checks its result, every token and the engines' ledger. */
async function checkCompletes (t: ExecutionContext, rig: AnswerRig, answer: RunningAnswer): Promise<void> {
  const result = await rig.runToEnd(answer)
  t.like(result, { kind: 'complete', tokens: answer.request.maxTokens })
  t.deepEqual(rig.findFaults(answer), [])
}

/** Checks that no sequence and no timer remains once cancellations have reached the engines. */
async function checkNothingRemains (t: ExecutionContext, rig: AnswerRig): Promise<void> {
  await rig.runtime.advance(20)
  t.is(rig.engines.sequences(), 0)
  t.is(rig.runtime.pendingTimers(), 0)
}

/** Layer range of an engine, by the first letter of its name. */
function rangeOf (target: string): { fromLayer: number, toLayer: number } {
  const stage = 'abcd'.indexOf(target[0]!)
  return { fromLayer: STAGE_BOUNDARIES[stage]!, toLayer: STAGE_BOUNDARIES[stage + 1]! }
}

/** Attempts that were opened on a target. */
const openedAttempts = (rig: AnswerRig, target: string) => rig.engines.get(target).opens.map(open => open.attempt)

test('an answer runs each layer once and leaves no sequence or timer', async t => {
  const rig = createAnswerRig()
  await checkCompletes(t, rig, rig.start())
  await checkNothingRemains(t, rig)
})

for (const target of ['a', 'b', 'c', 'd']) {
  test(`when stage ${target} dies the others keep their KV cache`, async t => {
    const rig = createAnswerRig()
    const answer = rig.start()
    await rig.advanceUntilTokens(answer, 5)
    rig.engines.get(target).kill()
    await checkCompletes(t, rig, answer)
    const survivors = ['a', 'b', 'c', 'd'].filter(name => name !== target)
    t.deepEqual(survivors.map(name => rig.engines.get(name).opens.at(-1)!.keptPositions > 0), [true, true, true])
    const later = survivors.filter(name => name > target)
    const rebuilds = later.flatMap(name => rig.engines.get(name).ledger().filter(row => row.mode === 'rebuild'))
    t.deepEqual(rebuilds, [])
    await checkNothingRemains(t, rig)
  })

  test(`a frozen stage ${target} is detected within the deadline`, async t => {
    const rig = createAnswerRig()
    const answer = rig.start()
    await rig.advanceUntilTokens(answer, 5)
    const frozenAtMs = rig.runtime.monotonicMs()
    rig.engines.get(target).faults.frozen = true
    await rig.advanceUntilTokens(answer, 7)
    t.true(rig.runtime.monotonicMs() - frozenAtMs <= 200 + 100 + 50)
    await checkCompletes(t, rig, answer)
    t.is(rig.conditions.get(target), 'suspected')
    rig.engines.get(target).faults.frozen = false
    await rig.runtime.advance(10_100)
    await checkNothingRemains(t, rig)
  })

  test(`a cut link after stage ${target} is replaced without suspecting a target`, async t => {
    const rig = createAnswerRig()
    const answer = rig.start()
    await rig.advanceUntilTokens(answer, 5)
    rig.engines.get(target).faults.linkCut = true
    await checkCompletes(t, rig, answer)
    t.is(rig.conditions.size, 0)
    t.is(answer.frames.at(-1)?.attempt, 2)
    await checkNothingRemains(t, rig)
  })
}

test('a link that one answer found lost is avoided by the next answer', async t => {
  const rig = createAnswerRig()
  rig.engines.get('b').faults.linkCut = true
  await checkCompletes(t, rig, rig.start())
  await checkCompletes(t, rig, rig.start())
  t.is(rig.engines.get('b').opens.length, 1)
})

test('a lost link after a replacement stage is detected early', async t => {
  const rig = createAnswerRig()
  rig.engines.add({ target: 'b3', fromLayer: 2, toLayer: 4 })
  const placement = ['a', 'b', 'c', 'd', 'b2', 'b3', 'c2'].map(target => ({ target, ...rangeOf(target) }))
  rig.configure(buildTestConfiguration({ layers: 8, placement }))
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 5)
  const lostAtMs = rig.runtime.monotonicMs()
  rig.engines.get('b').kill()
  rig.engines.get('b2').faults.linkCut = true
  await rig.advanceUntilTokens(answer, 7)
  t.true(rig.runtime.monotonicMs() - lostAtMs <= 100 + 50 + 50)
  await checkCompletes(t, rig, answer)
})

test('a rebuild over slow links is waited for while any stage progresses', async t => {
  const rig = createAnswerRig()
  for (const target of ['a', 'b', 'c', 'd', 'b2']) rig.engines.get(target).faults.linkDelayMs = 40
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 5)
  rig.engines.get('b').kill()
  await checkCompletes(t, rig, answer)
  t.is(answer.frames.at(-1)?.attempt, 2)
})

test('a degraded link is replaced and its late frames are dropped', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 5)
  rig.engines.get('b').faults.linkDelayMs = 5_000
  await checkCompletes(t, rig, answer)
  await rig.runtime.advance(6_000)
  t.deepEqual(rig.findFaults(answer), [])
  await checkNothingRemains(t, rig)
})

test('a silent connection is replaced on the same targets and none is suspected', async t => {
  const rig = createAnswerRig({ spares: [], stepMs: 20 })
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 3)
  rig.engines.get('d').silence()
  await checkCompletes(t, rig, answer)
  t.is(rig.conditions.size, 0)
  t.deepEqual(rig.engines.get('a').ledger().filter(row => row.mode === 'rebuild'), [])
  await checkNothingRemains(t, rig)
})

test('the end of an answer that was lost on a silent connection is read from the engine', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 11)
  rig.engines.get('d').silence()
  await checkCompletes(t, rig, answer)
  t.deepEqual(openedAttempts(rig, 'd'), [1])
})

test('an open that fails on a silent kept-alive connection is retried on a new one', async t => {
  const rig = createAnswerRig({ spares: [] })
  rig.engines.get('b').silenceKeptConnections()
  const answer = rig.start()
  await checkCompletes(t, rig, answer)
  t.is(rig.conditions.size, 0)
})

test('two frozen stages are detected together when an answer opens', async t => {
  const rig = createAnswerRig()
  rig.engines.get('b').faults.frozen = true
  rig.engines.get('c').faults.frozen = true
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 1)
  t.true(rig.runtime.monotonicMs() <= 50 + 100 + 50)
  await checkCompletes(t, rig, answer)
})

test('a slow but live first token is waited for', async t => {
  const rig = createAnswerRig({ stepMs: 900 })
  const answer = rig.start({ maxTokens: 2 })
  await checkCompletes(t, rig, answer)
  t.deepEqual(openedAttempts(rig, 'a'), [1])
})

test('a slow reader is not taken for a silent pipeline', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 2)
  rig.engines.get('d').silence()
  answer.chain()!.stages.at(-1)!.pause()
  const given = answer.frames.length
  await rig.runtime.advance(5_000)
  t.is(answer.frames.length, given)
  answer.chain()!.stages.at(-1)!.resume()
  await checkCompletes(t, rig, answer)
})

test('late, duplicate and out-of-order frames are dropped', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 4)
  const [first] = answer.frames
  for (const frame of [first!, { attempt: 1, position: 9, token: 'x' }, { attempt: 0, position: 4, token: 'x' }, { attempt: 2, position: 4, token: 'x' }]) {
    rig.engines.get('d').inject(frame)
  }
  await checkCompletes(t, rig, answer)
})

test('concurrent answers do not mix', async t => {
  const rig = createAnswerRig()
  const answers = [rig.start(), rig.start(), rig.start({ account: 'shop' })]
  await rig.advanceUntilTokens(answers[0]!, 3)
  rig.engines.get('c').kill()
  for (const answer of answers) await checkCompletes(t, rig, answer)
  await checkNothingRemains(t, rig)
})

test('an answer survives the deaths of two stages in turn', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 3)
  rig.engines.get('b').kill()
  await rig.advanceUntilTokens(answer, 6)
  rig.engines.get('d').kill()
  await checkCompletes(t, rig, answer)
  await checkNothingRemains(t, rig)
})

test('a second death during a rebuild is recovered from', async t => {
  const rig = createAnswerRig({ stepMs: 30 })
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 4)
  rig.engines.get('c').kill()
  await rig.runtime.advance(40)
  rig.engines.get('a').kill()
  await checkCompletes(t, rig, answer)
  await checkNothingRemains(t, rig)
})

test('a stage that restarted without its KV cache is rebuilt', async t => {
  const rig = createAnswerRig({ spares: [] })
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 4)
  rig.engines.get('b').cancel('studio/request-1', 1)
  await checkCompletes(t, rig, answer)
  t.is(rig.conditions.size, 0)
  t.is(rig.engines.get('b').opens.at(-1)?.keptPositions, 0)
})

test('a caller that goes away frees the sequence on every stage', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 3)
  answer.disconnectCaller()
  t.like(await rig.runToEnd(answer), { kind: 'failed', reason: 'callerGone' })
  await checkNothingRemains(t, rig)
})

test('a leaving stage that refuses is replaced and runs nothing', async t => {
  const rig = createAnswerRig()
  rig.engines.get('c').faults.leaving = true
  const answer = rig.start()
  await checkCompletes(t, rig, answer)
  t.is(rig.conditions.get('c'), 'leaving')
  t.deepEqual(rig.engines.get('c').ledger(), [])
})

test('a leaving stage finishes the answer that it serves', async t => {
  const rig = createAnswerRig()
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 3)
  rig.conditions.set('b', 'leaving')
  rig.engines.get('b').faults.leaving = true
  rig.engines.get('d').kill()
  await checkCompletes(t, rig, answer)
  t.deepEqual(openedAttempts(rig, 'b2'), [])
})

test('an answer without a pipeline continues on an engine that joins', async t => {
  const rig = createAnswerRig({ spares: [] })
  const answer = rig.start()
  await rig.advanceUntilTokens(answer, 4)
  rig.engines.get('b').kill()
  await rig.runtime.advance(12_000)
  t.is(answer.settled(), undefined)
  rig.engines.add({ target: 'new', fromLayer: 2, toLayer: 4 })
  const placement = [{ target: 'new', ...rangeOf('b') }, ...['a', 'c', 'd'].map(target => ({ target, ...rangeOf(target) }))]
  rig.configure(buildTestConfiguration({ layers: 8, placement }))
  const joinedAtMs = rig.runtime.monotonicMs()
  await checkCompletes(t, rig, answer)
  t.true(rig.runtime.monotonicMs() - joinedAtMs < 500)
  await checkNothingRemains(t, rig)
})

test('an answer without a pipeline fails at its deadline with a retry time', async t => {
  const rig = createAnswerRig({ spares: [] })
  const answer = rig.start({ deadlineMs: 2_000 })
  await rig.advanceUntilTokens(answer, 4)
  rig.engines.get('b').kill()
  t.like(await rig.runToEnd(answer), { kind: 'failed', reason: 'deadlinePassed', tokens: answer.frames.length, verdict: { kind: 'mayHaveRun' }, retryAfterMs: 1_000 })
  t.is(Math.ceil(rig.runtime.monotonicMs()), 2_000)
})

test('the deadline ends a wait for a slow stage at once', async t => {
  const rig = createAnswerRig({ stepMs: 5_000 })
  const answer = rig.start({ deadlineMs: 700 })
  t.like(await rig.runToEnd(answer), { kind: 'failed', reason: 'deadlinePassed' })
  t.is(Math.ceil(rig.runtime.monotonicMs()), 700)
})

test('a new request without a pipeline fails at once as not run', async t => {
  const rig = createAnswerRig({ spares: [] })
  rig.engines.get('c').kill()
  const answer = rig.start()
  t.like(await rig.runToEnd(answer), { kind: 'failed', reason: 'noPipeline', verdict: { kind: 'notRun' }, retryAfterMs: 1_000 })
  t.is(rig.engines.rows().length, 0)
})
