/**
 * Keeps requests away from engines when a part of their prompt is known to crash them, and collects
 * the evidence: the runs that had just begun on an engine when it ended.
 */
import { endWithReason, type LogDetails } from './answerCaller.js'
import type { Exchange } from './openExchange.js'
import type { Call, GatewayContext, TargetRun } from '../types.js'

/** Time from the first event of an answer in which its prompt may be the cause of a crash, in milliseconds: such prompts crash an engine within tenths of a second of its beginning to write. */
const BEGINNING_MS = 1_000

/** Retry delay sent to callers whose prompt crashes engines, in milliseconds; the engines have to be repaired first. */
const RETRY_AFTER_MS = 60_000

/** Crashes held against a part of a prompt from which the gateway does not repeat a request that took part in one. */
const MAX_REPEATED_CRASHES = 2

/** Records that an answer has gone on beyond its beginning, which shows that its prompt does not crash engines. */
export function noteProgress ({ facts, service }: Call, run: TargetRun, { crashEvidence, runtime }: Pick<GatewayContext, 'crashEvidence' | 'runtime'>): void {
  if (run.isProvedSound || run.firstEventMs === undefined || runtime.monotonicMs() - run.firstEventMs < BEGINNING_MS) return
  run.isProvedSound = true
  crashEvidence.noteAnswered(service.name, facts.promptParts)
}

/** Records a run whose target ended, and logs it; returns whether the request should not be sent to another target. */
export function noteCrash ({ facts, fingerprint, route, service }: Call, { target, sentMs, firstEventMs }: TargetRun, context: GatewayContext): boolean {
  const { crashEvidence, log, metrics, runtime } = context
  const nowMs = runtime.monotonicMs()
  const isBeginning = firstEventMs === undefined || nowMs - firstEventMs < BEGINNING_MS
  log.emit('targetCrashed', {
    request: facts.requestId,
    fingerprint,
    route: route.name,
    service: service.name,
    target: target.id,
    promptParts: facts.promptParts,
    promptTokens: facts.promptTokens,
    isBeginning,
    sentAgeMs: Math.round(nowMs - sentMs),
    ...(firstEventMs === undefined ? {} : { firstEventAgeMs: Math.round(nowMs - firstEventMs) })
  })
  metrics.crashes.inc({ progress: firstEventMs === undefined ? 'notBegun' : 'begun' })
  if (!isBeginning) return false
  crashEvidence.noteCrash(service.name, facts.promptParts, target)
  context.tellPeers()
  return crashEvidence.countCrashes(service.name, facts.promptParts) >= MAX_REPEATED_CRASHES
}

/** Ends a call whose prompt is known to crash engines; returns whether it did. */
export function endCrashingCall (call: Call, context: GatewayContext, { mayHaveRun, ...details }: LogDetails & { mayHaveRun: boolean }): boolean {
  const found = context.crashEvidence.findCrashing(call.service.name, call.facts.promptParts)
  if (found === undefined) return false
  const { parts, crashes, requests, lastCrashAgeMs } = found
  endWithReason(call, context, mayHaveRun ? 'targetFailed' : 'promptCrashesEngines', {
    ...details, cause: 'prompt part crashes engines', parts, crashes, crashedRequests: requests, lastCrashAgeMs, ...(mayHaveRun ? {} : { retryAfterMs: RETRY_AFTER_MS })
  })
  return true
}

/** Closes an exchange whose answer has not begun as soon as its prompt is known to crash engines. */
export function closeWhenCrashing ({ facts, service }: Call, run: TargetRun, exchange: Pick<Exchange, 'close'>, { crashEvidence }: Pick<GatewayContext, 'crashEvidence'>): Disposable {
  return crashEvidence.onFound(() => {
    if (run.firstEventMs === undefined && crashEvidence.findCrashing(service.name, facts.promptParts) !== undefined) exchange.close('prompt part crashes engines')
  })
}
