/**
 * Statements that must hold.
 */
import assert from 'node:assert/strict'
import { sequenceName } from '../../src/pipeline/types.js'
import { REASONS, type ReasonName } from '../../src/verdict/reasons.js'
import { checkLedger } from '../../standin/engine/checkLedger/index.js'
import { computeExpectedAnswer } from '../../standin/engine/model.js'
import type { HandlerAnswer } from '../invokeHandler/index.js'
import type { StatementHandler } from '../runScenario/index.js'
import { hasRevision } from './actions.js'
import { ACCOUNT, framesOf, identityOf, runningDaemons, type CallerRequest, type Session } from './session.js'

/** Time in which engines must have freed what no caller waits for. */
const FREED_WITHIN_MS = 12_000

export const EXPECTATIONS: Record<string, StatementHandler> = {
  async Expect_answered (session, [name]) {
    const request = await ended(session, String(name))
    if (request.tokens === undefined) return assert.equal(request.answer.status(), 201, request.answer.body())
    const frames = framesOf(request)
    assert.match(request.answer.body(), /data: \[DONE\]/, `the answer did not end well: ${request.answer.body().slice(-300)}`)
    assert.deepEqual(frames.map(frame => frame.position), frames.map((_, index) => index), 'positions in order, each once')
    assert.deepEqual(frames.map(frame => frame.token), computeExpectedAnswer(request.prompt!, request.tokens, boundariesOf(session, request.model!)), 'tokens')
  },
  async Expect_refused (session, [name, reason, verdict]) {
    const { answer } = await ended(session, String(name))
    expectProblem(answer, String(reason), String(verdict))
  },
  async Expect_accepted (session, [number, operator]) {
    const answer = await endedTicket(session, number!, operator!)
    assert.equal(answer.status(), 200, answer.body())
  },
  async Expect_ticketRefused (session, [number, operator, reason]) {
    expectProblem(await endedTicket(session, number!, operator!), String(reason))
  },
  async Expect_uncertain (session, [number, operator]) {
    expectProblem(await endedTicket(session, number!, operator!), 'ticketInDoubt')
  },
  async Expect_revision (session, [revision, where]) {
    await session.world.until(`revision ${revision} at ${where}`, () => hasRevision(session, Number(revision), String(where)))
    const wrong = runningDaemons(session).filter(daemon => (where === 'every host' || daemon.host === where) && daemon.daemon.holder.current().head.revision !== revision)
    assert.deepEqual(wrong.map(daemon => `${daemon.host}: ${daemon.daemon.holder.current().head.revision}`), [])
  },
  async Expect_revisionWithin (session, [revision, where, limitMs]) {
    await session.world.until(`revision ${revision} at ${where}`, () => hasRevision(session, Number(revision), String(where)), { withinMs: Number(limitMs) })
  },
  async Expect_monotonic ({ world }) {
    const highest = new Map<string, number>()
    for (const { host, role, revisions } of world.daemons) {
      for (const revision of revisions) {
        const before = highest.get(`${host}/${role}`) ?? 0
        assert.ok(revision >= before, `${role} on ${host} went from revision ${before} to ${revision}`)
        highest.set(`${host}/${role}`, revision)
      }
    }
  },
  async Expect_layers (session) {
    for (const request of session.requests.values()) {
      if (request.model === undefined) continue
      const layers = Math.max(...boundariesOf(session, request.model))
      const sequence = sequenceName({ account: ACCOUNT, request: identityOf(request) })
      const given = framesOf(request).map(({ attempt, position }) => ({ sequence, attempt, position }))
      assert.deepEqual(checkLedger(session.world.engines.ledgerRows(), given, { layers }), [])
    }
  },
  async Expect_booked ({ world }, [key, times]) { assert.equal(world.services.booked(String(key)), times) },
  async Expect_idle ({ world, opensWhenLeft, leaving }) {
    await world.until('the time of engines to leave', () => opensWhenLeft.size === leaving.size)
    for (const [target, opens] of opensWhenLeft) assert.equal(world.engines.get(target).opens.length, opens, `opens on ${target} since it left`)
  },
  async Expect_attempts (session, [name, count]) {
    const attempts = new Set(framesOf(await ended(session, String(name))).map(frame => frame.attempt))
    assert.equal(attempts.size, count, `attempts that gave tokens: ${[...attempts].join(' ')}`)
  },
  async Expect_clean (session) {
    const { world, requests } = session
    await world.until('sequences to be freed', () => world.engines.countSequences() === 0, { withinMs: FREED_WITHIN_MS })
    const open = [...requests.values()].filter(request => request.answer.state() === 'open')
    assert.deepEqual(open.map(request => request.name), [], 'answers still open')
    for (const { entry, host } of runningDaemons(session)) assert.equal(entry?.inFlight() ?? 0, 0, `requests in flight on ${host}`)
  },
  async Expect_stopped ({ world, drains }, [host, cutOff]) {
    const state = drains.get(String(host))
    assert.ok(state, `${host} was not drained`)
    await world.until(`${host} to stop`, () => state.done)
    const answers = world.find('entry', String(host)).answers
    const cut = answers.filter(answer => answer.state() !== 'ended' || answer.body().includes('"reason":602'))
    assert.equal(cut.length + state.cutOff, cutOff)
  }
}

async function ended (session: Session, name: string): Promise<CallerRequest> {
  const request = session.requests.get(name)
  assert.ok(request, `no request ${name} was sent`)
  await session.world.until(`answer to ${name}`, () => request.answer.state() !== 'open')
  return request
}

async function endedTicket (session: Session, number: string | number, operator: string | number): Promise<HandlerAnswer> {
  const answer = session.tickets.get(`${number} ${operator}`)
  assert.ok(answer, `${operator} submitted no ticket ${number}`)
  await session.world.until(`answer to ticket ${number}`, () => answer.state() !== 'open')
  return answer
}

/** The refusal is the whole body, or the last event of a stream. */
function expectProblem (answer: HandlerAnswer, reason: string, verdict?: string): void {
  const definition = REASONS[reason as ReasonName]
  assert.ok(definition, `there is no reason ${reason}`)
  const body = answer.body().includes('event: error') ? /event: error\ndata: (.+)/.exec(answer.body())![1]! : answer.body()
  const problem = JSON.parse(body) as { reason?: number, verdict?: string }
  assert.equal(problem.reason, definition.number, body)
  if (verdict !== undefined) assert.equal(problem.verdict, verdict, body)
}

/** First layer of each stage, and the number of layers. */
function boundariesOf ({ cuts }: Session, model: string): number[] {
  const layers = cuts.filter(cut => cut.model === model).flatMap(cut => [cut.fromLayer, cut.toLayer])
  return [...new Set(layers)].sort((a, b) => a - b)
}
