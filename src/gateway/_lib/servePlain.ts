/**
 * Serves calls to plain services. A safe call is retried on another target after any failure,
 * within its attempts and the retry budget; an unsafe one only if the previous target provably
 * did not run it.
 */
import { containsAnswerHead } from './containsAnswerHead.js'
import { judgeAnswer } from './judgeAnswer.js'
import { noteStatements } from './noteStatements.js'
import { closeWithCall } from './closeWithCall.js'
import { endIfTooLate } from './endIfTooLate.js'
import { findObstacle } from './findObstacle.js'
import { openExchange } from './openExchange.js'
import { readAnswerBody } from './readAnswerBody.js'
import { settleAnswerEnd } from './settleAnswerEnd.js'
import { describeRequest, endStopped, endWithReason, recordCallerGone, sendAnswer, type BufferedAnswer } from './answerCaller.js'
import { sleep } from '../../runtime/sleep/index.js'
import { withDeadline, DeadlineError } from '../../runtime/withDeadline/index.js'
import { describeBrokenEnd, describeRun, findFraming } from './describeRun.js'
import { describeReturn } from './describeReturn.js'
import { isAnyHeldBack } from './reserveCapacity.js'
import { reserveTarget } from './reserveTarget.js'
import { endCrashingCall, findCrashing, isSuspectedAfter, traitsOf } from './crashingRequests.js'
import type { EndVerdict } from '../judgeAnswerEnd/index.js'
import type { Call, GatewayContext, Reservation, TargetRun } from '../types.js'

/** Time without an answer after which a safe call is retried, as a multiple of the route's latency objective. */
const ANSWER_TIMEOUT_OBJECTIVES = 1.5

/** Retry delay sent to callers when no target could take a call, in milliseconds. */
const RETRY_AFTER_MS = 500

/** Cause of an attempt that was not started. */
const NO_TIME_LEFT = 'no time left'

type AttemptResult =
  | { kind: 'whole' } & BufferedAnswer
  /** `isOwnLink`: the request could not be sent, which says nothing of the target; `isPause`: the target asked for a pause; `hasLeft`: it left before the request was sent. */
  | { kind: 'notRun', cause: string, hasReachedTarget: boolean, isOwnLink?: boolean, isPause?: boolean, hasLeft?: boolean }
  /** `isBrokenByTarget`: the connection ended before the answer was complete, and this host did not close it. */
  | { kind: 'mayHaveRun', cause: string, isBrokenByTarget?: boolean }

/** Serves one call until it is answered or has failed. */
export async function servePlain (call: Call, ownDomain: string, context: GatewayContext): Promise<void> {
  const { route, service, signal } = call
  const { budget, suspicions, runtime, metrics, log } = context
  const excluded = new Set<string>()
  const attempts: string[] = []
  let countedAttempts = 0
  let mayHaveRun = false
  let lastFailure: { result: Extract<AttemptResult, { kind: 'whole' }>, run: TargetRun } | undefined
  while (!signal.aborted) {
    const holdMs = context.crashEvidence.settlingMs(traitsOf(call))
    if (holdMs > 0) await sleep(holdMs, { runtime, signal })
    if (lastFailure === undefined && endCrashingCall(call, context, { mayHaveRun, attempts })) return
    if (signal.aborted || findCrashing(call, context) !== undefined) break
    if (!mayHaveRun && lastFailure === undefined && endIfTooLate(call, 1, context, { attempts })) return
    using reservation = reserveTarget(service, excluded, ownDomain, context)
    if (reservation === undefined) break
    if (countedAttempts > 0 && (countedAttempts >= route.maxAttempts || !budget.trySpend(service.name))) break
    call.progress.tries++
    const run: TargetRun = { target: reservation.target, sentMs: runtime.monotonicMs(), firstEventMs: undefined, isProvedSound: false, isLinkLost: false }
    const result = await attemptCall(call, reservation, run, context)
    metrics.attempts.inc({ result: result.kind })
    attempts.push(`${reservation.target.id} ${result.kind === 'whole' ? result.status : result.cause}`)
    // Another start of the target may have the same id.
    if (!(result.kind === 'notRun' && result.hasLeft === true)) excluded.add(reservation.target.id)
    if (result.kind === 'whole') {
      suspicions.note(reservation.target.id, result.status >= 500 ? 'failedAnswer' : 'answered')
      const isFinal = result.status < 500 || route.kind === 'unsafe'
      if (isFinal) return finishWithAnswer(result, run)
      lastFailure = { result, run }
      countedAttempts++
      continue
    }
    if (result.kind === 'notRun') {
      const isGivenUp = signal.aborted && !result.hasReachedTarget
      const saysNothing = isGivenUp || result.cause === NO_TIME_LEFT || result.isOwnLink === true || result.isPause === true || result.hasLeft === true
      if (!saysNothing) suspicions.note(reservation.target.id, result.hasReachedTarget ? 'refused' : 'unreachable')
      if (result.hasReachedTarget) countedAttempts++
      continue
    }
    countedAttempts++
    if (signal.aborted) mayHaveRun = true
    else {
      if (!run.isLinkLost) suspicions.note(reservation.target.id, 'lostAnswer')
      mayHaveRun = true
      const isSuspect = result.isBrokenByTarget === true && await isSuspectedAfter(run, call, context)
      if (isSuspect) break
      if (route.kind === 'unsafe') break
    }
  }
  if (signal.aborted && !(signal.reason instanceof DeadlineError)) return recordCallerGone(call, context, { attempts })
  if (lastFailure !== undefined) return finishWithAnswer(lastFailure.result, lastFailure.run)
  if (signal.aborted) return endStopped(call, context, { mayHaveRun, notRunReason: 'targetUnreachable', attempts })
  if (mayHaveRun) return endWithReason(call, context, 'targetFailed', { attempts })
  endWithReason(call, context, isAnyHeldBack(service, excluded, context) ? 'overloaded' : 'targetUnreachable', { attempts, ...describeReturn(call, { defaultMs: RETRY_AFTER_MS }, context) })

  function finishWithAnswer (result: Extract<AttemptResult, { kind: 'whole' }>, run: TargetRun): void {
    if (result.status < 500) {
      context.durations.note(route.name, 1, runtime.monotonicMs() - run.sentMs)
      context.crashEvidence.noteAnswered(traitsOf(call))
    }
    sendAnswer(call, context, result)
    metrics.calls.inc({ kind: route.kind, outcome: 'answered' })
    log.emit('gatewayAnswered', {
      ...describeRequest(call),
      status: result.status,
      tookMs: Math.round(runtime.monotonicMs() - call.startedMs),
      attempts,
      ...describeRun(run),
      version: context.fleet.configuration()?.version
    })
  }
}

/** Sends the call to one target and reads the complete answer. */
async function attemptCall (call: Call, reservation: Reservation, run: TargetRun, context: GatewayContext): Promise<AttemptResult> {
  const { request, body, facts, route, account } = call
  const { format, runtime } = context
  const leftMs = Math.floor(call.deadlineAtMs - runtime.monotonicMs())
  if (leftMs <= 0) return { kind: 'notRun', cause: NO_TIME_LEFT, hasReachedTarget: false }
  const exchange = openExchange(reservation.target.address, {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: format.buildHeaders(request, body, { requestId: facts.requestId, account, leftMs, targetId: reservation.target.id, path: undefined, lastEventId: undefined }),
    body,
    connect: context.links.connect,
    findObstacle: () => findObstacle(reservation, context),
    onOpen: context.inputSlicer.slice
  })
  const closing = closeWithCall(call, exchange, context)
  using answerTimeout = withDeadline(route.objectiveMs * ANSWER_TIMEOUT_OBJECTIVES, { runtime })
  if (route.kind === 'safe') answerTimeout.signal.addEventListener('abort', () => exchange.close('no answer in time'), { once: true })
  try {
    const result = await exchange.result
    if (result.kind === 'notSent') return { kind: 'notRun', cause: result.cause, hasReachedTarget: false, isOwnLink: result.isOwnLink, isPause: result.obstacle === 'paused', hasLeft: result.obstacle === 'left' }
    if (result.kind === 'lost') return { kind: 'mayHaveRun', cause: result.cause, isBrokenByTarget: !exchange.isClosedHere() }
    const { answer } = result
    run.answer = { framing: findFraming(answer, request.method ?? 'GET'), relay: exchange.relay() }
    const metadata = format.readAnswer(answer.headers)
    const status = answer.statusCode ?? 0
    const isPause = noteStatements(metadata, status, call, reservation.target, context)
    const verdict = judgeAnswer({ status, metadata, isEncoded: answer.headers['content-encoding'] !== undefined, isRepeatable: route.kind === 'safe' }, facts)
    if (verdict.kind === 'notRun') return { kind: 'notRun', cause: `status ${status}`, hasReachedTarget: true, isPause }
    if (verdict.kind === 'unusable') return { kind: 'mayHaveRun', cause: verdict.cause }
    let endVerdict: EndVerdict = 'truncated'
    const judgeEnd = async (): Promise<EndVerdict> => {
      endVerdict = await settleAnswerEnd({ answer, exchange, run }, call, { isStream: false }, context)
      return endVerdict
    }
    const answerBody = await readAnswerBody(answer, judgeEnd, context)
    if (answerBody === undefined) return { kind: 'mayHaveRun', cause: describeBrokenEnd(run, endVerdict, 'answer truncated'), isBrokenByTarget: !exchange.isClosedHere() }
    const { framing } = run.answer
    if (framing === 'connection' && containsAnswerHead(answerBody, format)) return { kind: 'mayHaveRun', cause: 'another answer follows' }
    return { kind: 'whole', status, rawHeaders: answer.rawHeaders, body: answerBody, framing }
  } finally {
    closing[Symbol.dispose]()
    exchange.close('exchange ended')
  }
}
