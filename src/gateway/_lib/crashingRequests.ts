/**
 * Keeps requests away from engines when they, or a part of their prompt, are known to crash them, and collects
 * the evidence: the runs that had just begun on an engine when it ended.
 */
import { endWithReason, type LogDetails } from './answerCaller.js'
import type { Exchange } from './openExchange.js'
import { untilCallEnds } from './untilCallEnds.js'
import type { CrashingCause } from '../../crash/createCrashEvidence/index.js'
import type { RequestTraits } from '../../crash/types.js'
import type { Call, GatewayContext, TargetRun } from '../types.js'

/** Time from the first event of an answer in which its request may be the cause of a crash, in milliseconds: such requests crash an engine within tenths of a second of its beginning to write. */
const BEGINNING_MS = 1_000

/** Retry delay sent to callers whose request crashes engines, in milliseconds; the engines have to be repaired first. */
const RETRY_AFTER_MS = 60_000

/** Crashes held against a request from which the gateway does not repeat it when it took part in one. */
const MAX_REPEATED_CRASHES = 2

/** What evidence on crashes recognizes a call by. */
export const traitsOf = ({ facts, fingerprint, service }: Pick<Call, 'facts' | 'fingerprint' | 'service'>): RequestTraits =>
  ({ service: service.name, fingerprint, promptParts: facts.promptParts })

/** Why a call crashes engines, as far as that is known. */
export const findCrashing = (call: Call, { crashEvidence }: Pick<GatewayContext, 'crashEvidence'>): CrashingCause | undefined =>
  crashEvidence.findCrashing(traitsOf(call))

/** Records that an answer has gone on beyond its beginning, which shows that its request does not crash engines. */
export function noteProgress (call: Call, run: TargetRun, { crashEvidence, runtime }: Pick<GatewayContext, 'crashEvidence' | 'runtime'>): void {
  if (run.isProvedSound || run.firstEventMs === undefined || runtime.monotonicMs() - run.firstEventMs < BEGINNING_MS) return
  run.isProvedSound = true
  crashEvidence.noteAnswered(traitsOf(call))
}

/** Records a run whose target ended, and logs it; returns whether the request should not be sent to another target. */
function noteCrash (call: Call, { target, sentMs, firstEventMs }: TargetRun, context: GatewayContext): boolean {
  const { facts, fingerprint, route, service } = call
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
  crashEvidence.noteCrash(traitsOf(call), target)
  context.tellPeers()
  return crashEvidence.countCrashes(traitsOf(call)) >= MAX_REPEATED_CRASHES
}

/**
 * Finds out whether the target that broke off a run has ended, and records that; returns whether the request
 * should not be sent to another target. A call that ends meanwhile does not wait, but what it shows is recorded.
 */
export async function isSuspectedAfter (run: TargetRun, call: Call, context: GatewayContext): Promise<boolean> {
  const noted = context.hasCrashed(run.target).then(hasCrashed => hasCrashed && noteCrash(call, run, context))
  return await untilCallEnds(noted, call) ?? false
}

/** Ends a call that is known to crash engines; returns whether it did. */
export function endCrashingCall (call: Call, context: GatewayContext, { mayHaveRun, ...details }: LogDetails & { mayHaveRun: boolean }): boolean {
  const found = findCrashing(call, context)
  if (found === undefined) return false
  const { kind, parts, crashes, requests, lastCrashAgeMs } = found
  const isWhole = kind === 'request'
  endWithReason(call, context, mayHaveRun ? 'targetFailed' : isWhole ? 'requestCrashesEngines' : 'promptCrashesEngines', {
    ...details,
    cause: isWhole ? 'request crashes engines' : 'prompt part crashes engines',
    ...(isWhole ? { fingerprint: call.fingerprint } : { parts, crashedRequests: requests }),
    crashes,
    lastCrashAgeMs,
    ...(mayHaveRun ? {} : { retryAfterMs: RETRY_AFTER_MS })
  })
  return true
}

/** Closes an exchange whose answer has not begun as soon as its request is known to crash engines. */
export function closeWhenCrashing (call: Call, run: TargetRun, exchange: Pick<Exchange, 'close'>, context: Pick<GatewayContext, 'crashEvidence'>): Disposable {
  return context.crashEvidence.onFound(() => {
    if (run.firstEventMs === undefined && findCrashing(call, context) !== undefined) exchange.close('request crashes engines')
  })
}
