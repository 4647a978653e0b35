/**
 * Streams from engines. A stream that breaks off goes on at another path after the last event
 * that the caller has; the caller sees one answer without gap or repeat.
 */
import type { RequestSize } from '../../path/choosePath/index.js'
import { endWithReason, sendAnswer, type AnswerDetails } from './answerCaller.js'
import { takePath, takeTarget } from './choosePlace.js'
import { openExchange, type Exchange } from './openExchange.js'
import { takeAnswer, type Progress, type StreamResult } from './passStream.js'
import { DeadlineError } from '../../runtime/withDeadline/index.js'
import type { ActiveStream, Call, GatewayParts, Place } from '../types.js'

/** Longest useful wait for a place, as a multiple of the route's objective; callers leave a silent stream after four. */
const WAIT_OBJECTIVES = 3

/** Time after the last sign of a whole cover in which lost layers are likely to be loaded again, in milliseconds. */
const REPAIR_MS = 2_500

/** Tries of one call beyond its attempts, where engines refused it unrun or went away meanwhile. */
const MOST_REFUSALS = 2

/** Weight of the caller's estimate against the usual output; the estimate is often far off. */
const HINT_WEIGHT = 0.5

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Wait that callers are told when no place was found, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Expected size of a request, from what the caller says and what is usual. */
export function estimateSize (call: Pick<Call, 'facts' | 'service'>): RequestSize {
  const { facts, service } = call
  const usual = service.model?.usualOutputTokens ?? facts.maxOutputTokens
  const expected = facts.hintedOutputTokens === undefined ? usual : HINT_WEIGHT * facts.hintedOutputTokens + (1 - HINT_WEIGHT) * usual
  return { promptTokens: facts.promptTokens, outputTokens: Math.min(facts.maxOutputTokens, Math.round(expected)) }
}

/** Serves one stream to its end. */
export async function serveStream (call: Call, ownDomain: string, parts: GatewayParts): Promise<void> {
  const { route, service, signal, facts } = call
  const { budget, fleet, log, metrics, runtime } = parts
  const size = estimateSize(call)
  const excluded = new Set<string>()
  const progress: Progress = { lastEventId: facts.lastEventId, tries: 0, arrivals: 0, mayHaveRun: false, waitedMs: 0, attempts: [], firstEventMs: undefined, lastEventMs: undefined, longestPauseMs: 0, longestPauseEndMs: 0 }
  const details = (): AnswerDetails => ({ attempts: progress.attempts, waitedMs: Math.round(progress.waitedMs), queueLength: parts.dispatcherOf(service.name).queueLength() })

  while (!signal.aborted) {
    if (progress.tries > 0 && budget.left(service.name) < 1) return endUnserved('retry budget spent')
    const outcome = await requestPlace()
    if (outcome.kind === 'aborted') break
    progress.waitedMs += outcome.waitedMs
    metrics.waitSeconds.observe(outcome.waitedMs / MS_PER_S)
    if (outcome.kind === 'refused') return endWithReason(call, parts, progress.mayHaveRun ? 'targetFailed' : 'overloaded', { ...details(), retryAfterMs: RETRY_AFTER_MS })
    using place = outcome.place
    if (signal.aborted) break
    if (progress.tries > 0 && !budget.take(service.name)) return endUnserved('retry budget spent')
    progress.tries++
    const result = await attemptStream(call, place, size, progress, parts)
    metrics.attempts.inc({ result: result.kind })
    const { target } = place
    progress.attempts.push(`${describePath(place)} ${'cause' in result ? result.cause : result.kind}`)
    if (result.kind === 'complete') return finish()
    if (signal.aborted) break
    if (result.kind !== 'notRun') progress.mayHaveRun = true
    if (result.kind === 'refusedByTarget') {
      parts.suspicions.note(target.id, 'failedAnswer')
      progress.arrivals++
      excluded.add(target.id)
      if (progress.arrivals < route.maxAttempts && route.isResumable) continue
      return passOn(result)
    }
    if (result.kind === 'notRun') {
      if (call.endMs <= runtime.monotonicMs()) break
      const faulty = findStage(place, result.faultyAddress) ?? target.id
      parts.suspicions.note(faulty, result.isArrival ? 'refused' : 'unreachable')
      excluded.add(faulty)
    } else {
      if (!route.isResumable) return endWithReason(call, parts, 'targetFailed', details())
      parts.suspicions.note(target.id, 'lostAnswer')
      if (fleet.isServing(target)) progress.arrivals++
      excluded.add(target.id)
    }
    const isSpent = progress.arrivals >= route.maxAttempts || progress.tries >= route.maxAttempts + MOST_REFUSALS
    if (isSpent) return endUnserved('attempts spent')
    log.emit('streamResumed', { request: facts.requestId, target: target.id, cause: result.cause, lastEventId: progress.lastEventId, tries: progress.tries })
  }
  if (signal.reason instanceof DeadlineError) {
    return endWithReason(call, parts, progress.tries > 0 ? 'deadlinePassed' : 'overloaded', details())
  }
  log.emit('callerGone', { request: facts.requestId, route: route.name, tookMs: Math.round(runtime.monotonicMs() - call.startedMs), lastEventId: progress.lastEventId, ...details() })
  metrics.calls.inc({ kind: route.kind, outcome: 'callerGone' })

  function requestPlace (): ReturnType<ReturnType<GatewayParts['dispatcherOf']>['request']> {
    const elapsedMs = runtime.monotonicMs() - call.startedMs
    let coveredMs = runtime.monotonicMs()
    const model = service.model
    return parts.dispatcherOf(service.name).request({
      rank: call.rank,
      account: call.account ?? '',
      maxWaitMs: Math.min(WAIT_OBJECTIVES * route.objectiveMs - (progress.tries === 0 ? elapsedMs : 0), call.endMs - runtime.monotonicMs()),
      tryPlace: () => model === undefined ? takeTarget(service, excluded, ownDomain, parts) : takePath(service, size, excluded, ownDomain, parts),
      isPlaceExpected () {
        if (model === undefined) return fleet.servingTargets(service.name).length > 0
        if (parts.checkCoverage(service).isWhole) coveredMs = runtime.monotonicMs()
        return runtime.monotonicMs() - coveredMs < REPAIR_MS
      },
      signal
    })
  }

  function endUnserved (cause: string): void {
    endWithReason(call, parts, progress.mayHaveRun ? 'targetFailed' : 'noPipeline', { ...details(), cause, retryAfterMs: RETRY_AFTER_MS })
  }

  function finish (): void {
    metrics.calls.inc({ kind: route.kind, outcome: 'answered' })
    log.emit('gatewayAnswered', {
      request: facts.requestId,
      route: route.name,
      ...(call.account === undefined ? {} : { account: call.account }),
      status: 200,
      tookMs: Math.round(runtime.monotonicMs() - call.startedMs),
      firstEventMs: Math.round((progress.firstEventMs ?? call.startedMs) - call.startedMs),
      longestPauseMs: Math.round(progress.longestPauseMs),
      pauseEndedMs: Math.round(progress.longestPauseEndMs - call.startedMs),
      lastEventId: progress.lastEventId,
      version: fleet.configuration()?.version,
      ...details()
    })
  }

  function passOn (result: Extract<StreamResult, { kind: 'refusedByTarget' }>): void {
    if (call.response.headersSent) return endWithReason(call, parts, 'targetFailed', details())
    sendAnswer(call, parts, result)
    metrics.calls.inc({ kind: route.kind, outcome: 'failedByTarget' })
    log.emit('gatewayFailed', { request: facts.requestId, route: route.name, reason: 'targetFailed', status: result.status, ...details() })
  }
}

/** The engine of a place at an address; another one that is listed there may be gone or have come later. */
function findStage (place: Place, address: string | undefined): string | undefined {
  return place.path?.find(stage => stage.target.address === address)?.target.id
}

/** The stages of a place, for the log. */
function describePath (place: Place): string {
  return place.path === undefined ? place.target.id : place.path.map(stage => `${stage.target.id}:${stage.from}-${stage.to}`).join(',')
}

/** Runs one try: from the send to the end of the engine's stream. */
async function attemptStream (call: Call, place: Place, size: RequestSize, progress: Progress, parts: GatewayParts): Promise<StreamResult> {
  const { request, body, facts, account, signal } = call
  const { format, runtime } = parts
  const leftMs = Math.floor(call.endMs - runtime.monotonicMs())
  if (leftMs <= 0 || signal.aborted) return { kind: 'notRun', cause: 'no time left', faultyAddress: undefined, isArrival: false }
  const { lastEventId } = progress
  const exchange = openExchange(place.target.address, {
    method: request.method ?? 'POST',
    path: request.url ?? '/',
    headers: format.buildHeaders(request, body, { requestId: facts.requestId, account, leftMs, targetId: place.target.id, path: place.path, lastEventId }),
    body,
    runtime
  })
  const stop = (): void => exchange.close('call ended')
  signal.addEventListener('abort', stop, { once: true })
  using stream = place.path === undefined ? undefined : registerStream(call, place, size, exchange, parts)
  try {
    const result = await exchange.result
    if (result.kind === 'notSent') return { kind: 'notRun', cause: result.cause, faultyAddress: undefined, isArrival: false }
    if (result.kind === 'lost') return { kind: 'brokenOff', cause: result.cause }
    return await takeAnswer(result.answer, exchange.hasFailed, call, progress, stream?.active, parts)
  } finally {
    signal.removeEventListener('abort', stop)
    exchange.close('exchange ended')
  }
}

interface RegisteredStream extends Disposable {
  active: ActiveStream
}

function registerStream (call: Call, place: Place, size: RequestSize, exchange: Exchange, parts: GatewayParts): RegisteredStream {
  const { loadTracker, streams, runtime } = parts
  let moved: Disposable | undefined
  const active: ActiveStream = {
    requestId: call.facts.requestId,
    service: call.service,
    size,
    path: place.path!,
    progressedMs: runtime.monotonicMs(),
    hasStarted: false,
    meanPauseMs: 0,
    isBeingMoved: false,
    moveTo (path) {
      place[Symbol.dispose]()
      moved?.[Symbol.dispose]()
      moved = loadTracker.claim(path, size, { previousPath: active.path })
      active.path = path
    },
    abandon: cause => exchange.close(cause)
  }
  streams.add(active)
  return {
    active,
    [Symbol.dispose] () {
      streams.delete(active)
      moved?.[Symbol.dispose]()
    }
  }
}
