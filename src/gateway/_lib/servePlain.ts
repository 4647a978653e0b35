/**
 * Calls to plain services. A safe call goes to another target after any failure, within its
 * attempts and the budget; an unsafe one only where the first provably did not run it.
 */
import { openExchange } from './openExchange.js'
import { isFramed, readAnswerBody } from './readAnswerBody.js'
import { endWithReason, sendAnswer, type WholeAnswer } from './answerCaller.js'
import { takeTarget } from './choosePlace.js'
import { withDeadline, DeadlineError } from '../../runtime/withDeadline/index.js'
import type { Call, GatewayParts, Place } from '../types.js'

/** Time after which a safe call is sent to another target, as a multiple of the route's objective. */
const SILENCE_OBJECTIVES = 1.5

/** Wait that callers are told when no target could take a call, in milliseconds. */
const RETRY_AFTER_MS = 500

/** Status codes of targets that promise that the call did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Cause of an attempt that was not made. */
const NO_TIME = 'no time left'

type AttemptResult =
  | { kind: 'whole' } & WholeAnswer
  | { kind: 'notRun', cause: string, isArrival: boolean }
  | { kind: 'mayHaveRun', cause: string }

/** Serves one call to its end. */
export async function servePlain (call: Call, ownDomain: string, parts: GatewayParts): Promise<void> {
  const { route, service, signal } = call
  const { budget, suspicions, runtime, metrics, log } = parts
  const excluded = new Set<string>()
  const attempts: string[] = []
  let arrivals = 0
  let hasMaybeRun = false
  let failure: Extract<AttemptResult, { kind: 'whole' }> | undefined
  while (!signal.aborted) {
    using place = takeTarget(service, excluded, ownDomain, parts)
    if (place === undefined) break
    if (arrivals > 0 && (arrivals >= route.maxAttempts || !budget.trySpend(service.name))) break
    const result = await attempt(call, place, parts)
    metrics.attempts.inc({ result: result.kind })
    attempts.push(`${place.target.id} ${result.kind === 'whole' ? result.status : result.cause}`)
    excluded.add(place.target.id)
    if (result.kind === 'whole') {
      suspicions.note(place.target.id, result.status >= 500 ? 'failedAnswer' : 'answered')
      const isFinal = result.status < 500 || route.kind === 'unsafe'
      if (isFinal) return answer(result)
      failure = result
      arrivals++
      continue
    }
    if (result.kind === 'notRun') {
      if (result.isArrival || result.cause !== NO_TIME) suspicions.note(place.target.id, result.isArrival ? 'refused' : 'unreachable')
      if (result.isArrival) arrivals++
      continue
    }
    arrivals++
    if (signal.aborted) hasMaybeRun = true
    else {
      suspicions.note(place.target.id, 'lostAnswer')
      hasMaybeRun = true
      if (route.kind === 'unsafe') break
    }
  }
  if (signal.aborted && !(signal.reason instanceof DeadlineError)) {
    log.emit('callerGone', { request: call.facts.requestId, route: route.name, tookMs: Math.round(runtime.monotonicMs() - call.startedMs), attempts })
    metrics.calls.inc({ kind: route.kind, outcome: 'callerGone' })
    return
  }
  if (failure !== undefined) return answer(failure)
  if (signal.aborted) return endWithReason(call, parts, hasMaybeRun ? 'deadlinePassed' : 'targetUnreachable', { attempts })
  if (hasMaybeRun) return endWithReason(call, parts, 'targetFailed', { attempts })
  endWithReason(call, parts, 'targetUnreachable', { attempts, retryAfterMs: RETRY_AFTER_MS })

  function answer (result: Extract<AttemptResult, { kind: 'whole' }>): void {
    sendAnswer(call, parts, result)
    metrics.calls.inc({ kind: route.kind, outcome: 'answered' })
    log.emit('gatewayAnswered', {
      request: call.facts.requestId,
      route: route.name,
      ...(call.account === undefined ? {} : { account: call.account }),
      status: result.status,
      tookMs: Math.round(runtime.monotonicMs() - call.startedMs),
      attempts,
      version: parts.fleet.configuration()?.version
    })
  }
}

/** Sends the call to one target and reads the whole answer. */
async function attempt (call: Call, place: Place, parts: GatewayParts): Promise<AttemptResult> {
  const { request, body, facts, route, account, signal } = call
  const { format, runtime } = parts
  const leftMs = Math.floor(call.endMs - runtime.monotonicMs())
  if (leftMs <= 0) return { kind: 'notRun', cause: NO_TIME, isArrival: false }
  const exchange = openExchange(place.target.address, {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: format.buildHeaders(request, body, { requestId: facts.requestId, account, leftMs, targetId: place.target.id, path: undefined, lastEventId: undefined }),
    body,
    runtime
  })
  const stop = (): void => exchange.close('call ended')
  signal.addEventListener('abort', stop, { once: true })
  using silence = withDeadline(route.objectiveMs * SILENCE_OBJECTIVES, { runtime })
  if (route.kind === 'safe') silence.signal.addEventListener('abort', () => exchange.close('no answer in time'), { once: true })
  try {
    const result = await exchange.result
    if (result.kind === 'notSent') return { kind: 'notRun', cause: result.cause, isArrival: false }
    if (result.kind === 'lost') return { kind: 'mayHaveRun', cause: result.cause }
    const { answer } = result
    const said = format.readAnswer(answer.headers)
    const answerBody = await readAnswerBody(answer, exchange.hasFailed)
    exchange.close('answer read')
    const status = answer.statusCode ?? 0
    if (said.isNotRun) return { kind: 'notRun', cause: `status ${status}`, isArrival: true }
    if (answerBody === undefined) return { kind: 'mayHaveRun', cause: 'answer broke off' }
    if (said.requestId !== undefined && said.requestId !== facts.requestId) return { kind: 'mayHaveRun', cause: 'answer to another request' }
    if (answer.headers['content-encoding'] !== undefined || !said.isSigned) return { kind: 'mayHaveRun', cause: 'answer without signature' }
    if (NOT_RUN_STATUSES.has(status)) return { kind: 'mayHaveRun', cause: `status ${status} without proof` }
    return { kind: 'whole', status, rawHeaders: answer.rawHeaders, body: answerBody, isFramed: isFramed(answer) }
  } finally {
    signal.removeEventListener('abort', stop)
  }
}
