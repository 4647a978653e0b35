/**
 * Handlers of the statements that check the simulation.
 */
import assert from 'node:assert/strict'
import { sequenceName } from '../../src/pipeline/types.js'
import { REASONS, type ReasonName } from '../../src/verdict/reasons.js'
import { checkLedger } from '../../standin/engine/checkLedger/index.js'
import { computeExpectedAnswer } from '../../standin/engine/model.js'
import type { HandlerAnswer } from '../invokeHandler/index.js'
import type { StatementHandler } from '../runScenario/index.js'
import { hasRevision } from './actions.js'
import { ACCOUNT, receivedFrames, requestIdOf, runningDaemons, type CallerRequest, type ScenarioRun } from './scenarioRun.js'

/** Time in which engines must free the sequences that no caller waits for any more. */
const FREE_DEADLINE_MS = 12_000

export const EXPECTATIONS: Record<string, StatementHandler> = {
  async Expect_answered (run, [name]) {
    const request = await waitForRequest(run, String(name))
    if (request.tokens === undefined) return assert.equal(request.answer.status(), 201, request.answer.body())
    const frames = receivedFrames(request)
    assert.match(request.answer.body(), /data: \[DONE\]/, `the answer is not complete: ${request.answer.body().slice(-300)}`)
    assert.deepEqual(frames.map(frame => frame.position), frames.map((_, index) => index), 'positions must increase by one from 0')
    assert.deepEqual(frames.map(frame => frame.token), computeExpectedAnswer(request.prompt!, request.tokens, layerBoundariesOf(run, request.model!)), 'tokens')
  },
  async Expect_refused (run, [name, reason, verdict]) {
    const { answer } = await waitForRequest(run, String(name))
    expectProblem(answer, String(reason), String(verdict))
  },
  async Expect_accepted (run, [number, operator]) {
    const answer = await waitForTicket(run, number!, operator!)
    assert.equal(answer.status(), 200, answer.body())
  },
  async Expect_ticketRefused (run, [number, operator, reason]) {
    expectProblem(await waitForTicket(run, number!, operator!), String(reason))
  },
  async Expect_uncertain (run, [number, operator]) {
    expectProblem(await waitForTicket(run, number!, operator!), 'ticketInDoubt')
  },
  async Expect_revision (run, [revision, where]) {
    await run.simulation.waitUntil(`revision ${revision} at ${where}`, () => hasRevision(run, Number(revision), String(where)))
    const wrong = runningDaemons(run).filter(daemon => (where === 'every host' || daemon.host === where) && daemon.daemon.holder.current().head.revision !== revision)
    assert.deepEqual(wrong.map(daemon => `${daemon.host}: ${daemon.daemon.holder.current().head.revision}`), [])
  },
  async Expect_revisionWithin (run, [revision, where, limitMs]) {
    await run.simulation.waitUntil(`revision ${revision} at ${where}`, () => hasRevision(run, Number(revision), String(where)), { withinMs: Number(limitMs) })
  },
  async Expect_monotonic ({ simulation }) {
    const highest = new Map<string, number>()
    for (const { host, role, revisions } of simulation.daemons) {
      for (const revision of revisions) {
        const before = highest.get(`${host}/${role}`) ?? 0
        assert.ok(revision >= before, `${role} on ${host} went from revision ${before} to ${revision}`)
        highest.set(`${host}/${role}`, revision)
      }
    }
  },
  async Expect_layers (run) {
    for (const request of run.requests.values()) {
      if (request.model === undefined) continue
      const layers = Math.max(...layerBoundariesOf(run, request.model))
      const sequence = sequenceName({ account: ACCOUNT, request: requestIdOf(request) })
      const receivedTokens = receivedFrames(request).map(({ attempt, position }) => ({ sequence, attempt, position }))
      assert.deepEqual(checkLedger(run.simulation.engines.rows(), receivedTokens, { layers }), [])
    }
  },
  async Expect_booked ({ simulation }, [key, times]) { assert.equal(simulation.services.booked(String(key)), times) },
  async Expect_idle ({ simulation, openCountsAtLeavingDeadline, leaving }) {
    await simulation.waitUntil('the deadline of leaving engines', () => openCountsAtLeavingDeadline.size === leaving.size)
    for (const [target, openCount] of openCountsAtLeavingDeadline) assert.equal(simulation.engines.get(target).opens.length, openCount, `sequences opened on ${target} after its leaving deadline`)
  },
  async Expect_attempts (run, [name, count]) {
    const attempts = new Set(receivedFrames(await waitForRequest(run, String(name))).map(frame => frame.attempt))
    assert.equal(attempts.size, count, `attempts that produced tokens: ${[...attempts].join(' ')}`)
  },
  async Expect_clean (run) {
    const { simulation, requests } = run
    await simulation.waitUntil('sequences to be freed', () => simulation.engines.sequences() === 0, { withinMs: FREE_DEADLINE_MS })
    const open = [...requests.values()].filter(request => request.answer.state() === 'open')
    assert.deepEqual(open.map(request => request.name), [], 'answers still open')
    for (const { entry, host } of runningDaemons(run)) assert.equal(entry?.inFlight() ?? 0, 0, `requests in flight on ${host}`)
  },
  async Expect_stopped ({ simulation, drains }, [host, cutOff]) {
    const drainState = drains.get(String(host))
    assert.ok(drainState, `${host} was not drained`)
    await simulation.waitUntil(`${host} to stop`, () => drainState.done)
    const answers = simulation.findDaemon('entry', String(host)).answers
    const cutAnswers = answers.filter(answer => answer.state() !== 'ended' || answer.body().includes('"reason":602'))
    assert.equal(cutAnswers.length + drainState.openAnswerCount, cutOff)
  }
}

async function waitForRequest (run: ScenarioRun, name: string): Promise<CallerRequest> {
  const request = run.requests.get(name)
  assert.ok(request, `no request ${name} was sent`)
  await run.simulation.waitUntil(`answer to ${name}`, () => request.answer.state() !== 'open')
  return request
}

async function waitForTicket (run: ScenarioRun, number: string | number, operator: string | number): Promise<HandlerAnswer> {
  const answer = run.tickets.get(`${number} ${operator}`)
  assert.ok(answer, `${operator} submitted no ticket ${number}`)
  await run.simulation.waitUntil(`answer to ticket ${number}`, () => answer.state() !== 'open')
  return answer
}

/** Checks the problem of a refusal, which is the whole body or the last event of a stream. */
function expectProblem (answer: HandlerAnswer, reason: string, verdict?: string): void {
  const definition = REASONS[reason as ReasonName]
  assert.ok(definition, `unknown reason ${reason}`)
  const body = answer.body().includes('event: error') ? /event: error\ndata: (.+)/.exec(answer.body())![1]! : answer.body()
  const problem = JSON.parse(body) as { reason?: number, verdict?: string }
  assert.equal(problem.reason, definition.number, body)
  if (verdict !== undefined) assert.equal(problem.verdict, verdict, body)
}

/** First layer of each stage, followed by the number of layers. */
function layerBoundariesOf ({ placements }: ScenarioRun, model: string): number[] {
  const layers = placements.filter(part => part.model === model).flatMap(part => [part.fromLayer, part.toLayer])
  return [...new Set(layers)].sort((a, b) => a - b)
}
