import test from 'ava'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import type { Router } from '../../route/types.js'
import { accountSchema } from '../../ticket/types.js'
import type { AdmissionResult } from '../types.js'
import { createAdmission } from './index.js'

/** A router of one model at 100 tokens a second. */
function createFakeRouter (): Router {
  let outstanding = 0
  return {
    boundTokensPerS: () => 100,
    outstandingTokens: () => outstanding,
    follow: async () => {},
    begin (_, tokens) {
      outstanding += tokens
      return { pick: candidates => candidates[0]!, recordToken: () => { outstanding -= 1 }, [Symbol.dispose]: () => { outstanding -= tokens } }
    }
  }
}

function setUp () {
  const runtime = createManualRuntime()
  const admission = createAdmission({ router: createFakeRouter(), rank: () => ({ entries: 1, rank: 0 }), runtime })
  const requestAdmission = (name: string, tokens: number, deadlineMs: number, signal = new AbortController().signal): Promise<AdmissionResult> => {
    const account = accountSchema.parse({ name, tokenHash: `sha256:${'0'.repeat(16)}:${'0'.repeat(64)}` })
    return admission.admit({ account, model: 'draft', tokens, deadlineMs, signal })
  }
  return { runtime, requestAdmission }
}

test('a request that cannot be answered in time is refused on arrival with the load', async t => {
  const { requestAdmission, runtime } = setUp()
  const first = await requestAdmission('studio', 512, 60_000)
  if (first.kind !== 'admitted') return t.fail()
  first.route.recordToken()
  await runtime.advance(40)
  first.route.recordToken()
  t.like(await requestAdmission('studio', 100, 4_000), {
    kind: 'refused', reason: 'overloaded', retryAfterMs: 800, facts: { outstandingTokens: 510, neededMs: 4_800, deadlineMs: 4_000 }
  })
})

test('the queue is bounded by its wait, however late the deadlines', async t => {
  const { requestAdmission } = setUp()
  await requestAdmission('studio', 812, 60_000)
  requestAdmission('studio', 20, 60_000).then(() => t.fail(), t.fail)
  t.like(await requestAdmission('studio', 1, 60_000), { kind: 'refused', reason: 'overloaded', facts: { queuedTokens: 20, waitMs: 3_200 } })
})

test('a small account is let in before the backlog of a large one', async t => {
  const { requestAdmission, runtime } = setUp()
  const first = await requestAdmission('bulk', 600, 60_000)
  const started: string[] = []
  for (let index = 0; index < 2; index++) requestAdmission('bulk', 200, 60_000).then(() => started.push('bulk'), t.fail)
  requestAdmission('shop', 100, 60_000).then(() => started.push('shop'), t.fail)
  t.is(first.kind, 'admitted')
  if (first.kind === 'admitted') first.route[Symbol.dispose]()
  await runtime.settle()
  t.is(started[0], 'shop')
})

test('a waiting request whose deadline passes or whose caller leaves is refused at once', async t => {
  const { requestAdmission, runtime } = setUp()
  const controller = new AbortController()
  await requestAdmission('studio', 600, 60_000)
  const late = requestAdmission('studio', 10, 6_200)
  const gone = requestAdmission('studio', 10, 60_000, controller.signal)
  controller.abort()
  t.like(await gone, { kind: 'refused', reason: 'callerGone' })
  await runtime.advance(6_200)
  t.like(await late, { kind: 'refused', reason: 'overloaded' })
})
