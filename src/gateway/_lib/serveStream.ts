/**
 * Serves streams from engines. An interrupted stream resumes on another path after the last
 * event that the caller received; the caller sees one answer without gaps or repeats.
 *
 * Until the first event is sent, a request that cannot be served soon is refused. An answer that
 * has begun can only be cut off, so it waits for capacity and for the retry budget until its
 * deadline or until the caller leaves; it ends early only when its runs have used up the attempts
 * of the route.
 */
import type { Target } from '../../fleet/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import { DeadlineError } from '../../runtime/withDeadline/index.js'
import type { Call, GatewayContext, Reservation, TargetRun } from '../types.js'
import { describeRequest, endStopped, endWithReason, recordCallerGone, sendAnswer, type LogDetails } from './answerCaller.js'
import { attemptStream } from './attemptStream.js'
import { endCrashingCall, isSuspectedAfter, traitsOf } from './crashingRequests.js'
import { describeRun } from './describeRun.js'
import { describeReturn } from './describeReturn.js'
import { endIfTooLate } from './endIfTooLate.js'
import { countTokens, estimateRequestSize } from './estimateRequestSize.js'
import type { CallProgress, StreamResult } from './relayStream.js'
import { requestPlace } from './requestPlace.js'

/** Tries of a call that has not begun beyond the route's attempts, for engines that refused it without running it or left meanwhile. */
const MAX_EXTRA_TRIES = 2

/** Pause before an answer that has begun is tried again after a refusal, in milliseconds; doubled with each further refusal in a row. */
const REFUSAL_PAUSE_MS = 25
const MAX_REFUSAL_PAUSE_MS = 400

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Retry delay sent to callers when no capacity could be reserved, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Serves one stream until it is complete or has failed. */
export async function serveStream (call: Call, ownDomain: string, context: GatewayContext): Promise<void> {
  const { route, service, signal, facts } = call
  const { budget, fleet, log, metrics, runtime } = context
  const size = estimateRequestSize(call, context)
  /** Engines that failed the call, and engines that did not run it. */
  const failedIds = new Set<string>()
  const notRunIds = new Set<string>()
  /** Engines that have run the call. */
  const ranOn: Target[] = []
  let refusalsInRow = 0
  const progress: CallProgress = { lastEventId: facts.lastEventId, tries: 0, mayHaveRun: false, waitedMs: 0, attempts: [], firstEventMs: undefined, lastEventMs: undefined, longestPauseMs: 0, longestPauseEndMs: 0 }
  call.progress = progress
  const details = (): LogDetails => ({ attempts: progress.attempts, waitedMs: Math.round(progress.waitedMs), queueLength: context.dispatcherOf(service.name).queueLength() })

  const hasBegun = (): boolean => call.response.headersSent
  /** Whether the runs use up the attempts; those on engines that have ended since no longer count. */
  const areRunsExhausted = (runs: readonly Target[] = ranOn): boolean => runs.filter(fleet.isListed).length >= route.maxAttempts

  const isEndedAsTooLate = (): boolean => !hasBegun() && !progress.mayHaveRun && endIfTooLate(call, size.outputTokens, context, details())
  const isEndedAsCrashing = (): boolean => endCrashingCall(call, context, { mayHaveRun: progress.mayHaveRun, ...details() })

  while (!signal.aborted) {
    const holdMs = hasBegun() ? 0 : context.crashEvidence.settlingMs(traitsOf(call))
    if (holdMs > 0) await sleep(holdMs, { runtime, signal })
    if (isEndedAsCrashing() || isEndedAsTooLate()) return
    if (progress.tries > 0) {
      if (hasBegun()) {
        if (refusalsInRow > 0) await sleep(Math.min(MAX_REFUSAL_PAUSE_MS, REFUSAL_PAUSE_MS * 2 ** (refusalsInRow - 1)), { runtime, signal })
        if (!await budget.spendWhenLeft(service.name, signal)) break
      } else if (budget.left(service.name) < 1) return endWithoutAnswer('retry budget spent')
    }
    // Engines that refused an answer that has begun may take it later.
    const excluded = hasBegun() ? failedIds : new Set([...failedIds, ...notRunIds])
    const outcome = await requestPlace(call, { size, excluded, hasBegun: hasBegun(), tries: progress.tries }, ownDomain, context)
    if (outcome.kind === 'aborted') break
    progress.waitedMs += outcome.waitedMs
    metrics.waitSeconds.observe(outcome.waitedMs / MS_PER_S)
    if (outcome.kind === 'refused') {
      if (!isEndedAsCrashing()) endWithReason(call, context, progress.mayHaveRun ? 'targetFailed' : 'overloaded', { ...details(), ...outcome.figures, ...describeReturn(call, { defaultMs: RETRY_AFTER_MS, expectedWaitMs: outcome.figures.expectedWaitMs }, context) })
      return
    }
    using reservation = outcome.place
    if (isEndedAsCrashing() || isEndedAsTooLate()) return
    if (signal.aborted) break
    if (progress.tries > 0 && !hasBegun() && !budget.trySpend(service.name)) return endWithoutAnswer('retry budget spent')
    progress.tries++
    const mayInterrupt = (): boolean => route.isResumable && (!hasBegun() || !areRunsExhausted([...ranOn, reservation.target]))
    const run: TargetRun = { target: reservation.target, sentMs: runtime.monotonicMs(), firstEventMs: undefined, eventCount: 0, isProvedSound: false, isLinkLost: false }
    const result = await attemptStream(call, reservation, size, progress, run, mayInterrupt, context)
    metrics.attempts.inc({ result: result.kind })
    const { target } = reservation
    progress.attempts.push(`${describePath(reservation)} ${'cause' in result ? result.cause : result.kind}`)
    if (result.kind === 'complete') return recordAnswer(run)
    if (signal.aborted) break
    if (result.kind === 'notRun') {
      if (call.deadlineAtMs <= runtime.monotonicMs()) break
      if (result.hasLeft === true) {
        // Nothing was sent, and the next choice passes over what has left.
        progress.tries--
        continue
      }
      const faultyId = findTargetAt(reservation, result.faultyAddress) ?? target.id
      const isPause = result.isPause === true && faultyId === target.id
      if (result.isOwnLink !== true && !isPause) context.suspicions.note(faultyId, result.hasReachedTarget ? 'refused' : 'unreachable')
      // A pause itself keeps the call away, for as long as it lasts.
      if (!isPause) notRunIds.add(faultyId)
      refusalsInRow++
    } else {
      progress.mayHaveRun = true
      refusalsInRow = 0
      ranOn.push(target)
      failedIds.add(target.id)
      if (!run.isLinkLost) context.suspicions.note(target.id, result.kind === 'refusedByTarget' ? 'failedAnswer' : 'lostAnswer')
      if (result.kind === 'brokenOff' && result.isBrokenByTarget && await isSuspectedAfter(run, call, context)) {
        if (!isEndedAsCrashing()) endWithoutAnswer('request suspected of crashes')
        return
      }
      if (signal.aborted) break
      if (result.kind === 'refusedByTarget') {
        if (route.isResumable && !areRunsExhausted()) continue
        return relayFailure(result)
      }
      if (!route.isResumable) return endWithReason(call, context, 'targetFailed', details())
    }
    const areTriesExhausted = !hasBegun() && progress.tries >= route.maxAttempts + MAX_EXTRA_TRIES
    if (areTriesExhausted || areRunsExhausted()) return endWithoutAnswer('attempts spent')
    log.emit('streamResumed', { request: facts.requestId, target: target.id, cause: result.cause, lastEventId: progress.lastEventId, tries: progress.tries, ...describeRun(run) })
  }
  // A busy process can see that the deadline has passed before the timer of the signal fires.
  if (!signal.aborted || signal.reason instanceof DeadlineError) {
    return endStopped(call, context, { mayHaveRun: progress.tries > 0, notRunReason: 'overloaded', ...details() })
  }
  recordCallerGone(call, context, { lastEventId: progress.lastEventId, ...details() })

  function endWithoutAnswer (cause: 'retry budget spent' | 'attempts spent' | 'request suspected of crashes'): void {
    endWithReason(call, context, progress.mayHaveRun ? 'targetFailed' : 'noPipeline', { ...details(), cause, ...describeReturn(call, { defaultMs: RETRY_AFTER_MS }, context), cutCause: 'attempts' })
  }

  function recordAnswer (run: TargetRun): void {
    context.crashEvidence.noteAnswered(traitsOf(call))
    metrics.calls.inc({ kind: route.kind, outcome: 'answered' })
    if (progress.attempts.length === 1 && facts.lastEventId === undefined) context.durations.note(route.name, countTokens(call, progress.lastEventId) ?? size.outputTokens, runtime.monotonicMs() - run.sentMs)
    if (progress.firstEventMs !== undefined && progress.attempts.length === 1) context.dispatcherOf(service.name).noteFirstEvent(progress.firstEventMs - call.startedMs - progress.waitedMs)
    log.emit('gatewayAnswered', {
      ...describeRequest(call),
      status: 200,
      tookMs: Math.round(runtime.monotonicMs() - call.startedMs),
      firstEventMs: Math.round((progress.firstEventMs ?? call.startedMs) - call.startedMs),
      longestPauseMs: Math.round(progress.longestPauseMs),
      pauseEndedMs: Math.round(progress.longestPauseEndMs - call.startedMs),
      lastEventId: progress.lastEventId,
      ...describeRun(run),
      outputTokens: countTokens(call, progress.lastEventId),
      expectedTokens: size.outputTokens,
      hintedTokens: facts.hintedOutputTokens,
      version: fleet.configuration()?.version,
      ...details()
    })
  }

  function relayFailure (result: Extract<StreamResult, { kind: 'refusedByTarget' }>): void {
    if (call.response.headersSent) return endWithReason(call, context, 'targetFailed', details())
    sendAnswer(call, context, result)
    metrics.calls.inc({ kind: route.kind, outcome: 'failedByTarget' })
    log.emit('gatewayFailed', { ...describeRequest(call), reason: 'targetFailed', status: result.status, ...details() })
  }
}

/** Id of the target at an address on the reserved path. The current list is not used: another target may have had the address before or since. */
function findTargetAt (reservation: Reservation, address: string | undefined): string | undefined {
  return reservation.path?.find(stage => stage.target.address === address)?.target.id
}

/** Describes the stages of a reservation for the log. */
function describePath (reservation: Reservation): string {
  return reservation.path === undefined ? reservation.target.id : reservation.path.map(stage => `${stage.target.id}:${stage.from}-${stage.to}`).join(',')
}
