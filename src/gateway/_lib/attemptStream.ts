/**
 * Runs one try of a stream on a reserved path, and registers it as a stream in progress so that it
 * can be moved to another path.
 */
import { planClaim } from '../../cost/planClaim/index.js'
import type { RequestSize } from '../../path/choosePath/index.js'
import type { Claim } from '../../path/createLoadTracker/index.js'
import type { ActiveStream, Call, GatewayContext, Reservation, TargetRun } from '../types.js'
import { closeWithCall } from './closeWithCall.js'
import { closeWhenCrashing } from './crashingRequests.js'
import { findFraming } from './describeRun.js'
import { countTokens, expectOutput, learnOutput } from './estimateRequestSize.js'
import { createPaceObserver } from './createPaceObserver.js'
import { findObstacle } from './findObstacle.js'
import { openExchange, type Exchange } from './openExchange.js'
import { relayStream, type CallProgress, type StreamResult } from './relayStream.js'

/** Runs one try, from sending the request to the end of the engine's stream. */
export async function attemptStream (call: Call, reservation: Reservation, size: RequestSize, progress: CallProgress, run: TargetRun, mayInterrupt: () => boolean, context: GatewayContext): Promise<StreamResult> {
  const { request, body, facts, account, signal } = call
  const { format, runtime } = context
  const leftMs = Math.floor(call.deadlineAtMs - runtime.monotonicMs())
  if (leftMs <= 0 || signal.aborted) return { kind: 'notRun', cause: 'no time left', faultyAddress: undefined, hasReachedTarget: false }
  const { lastEventId } = progress
  const exchange = openExchange(reservation.target.address, {
    method: request.method ?? 'POST',
    path: request.url ?? '/',
    headers: format.buildHeaders(request, body, { requestId: facts.requestId, account, leftMs, targetId: reservation.target.id, path: reservation.path, lastEventId }),
    body,
    connect: context.links.connect,
    findObstacle: () => findObstacle(reservation, context),
    onOpen: context.inputSlicer.slice
  })
  const closing = closeWithCall(call, exchange, context)
  const crashWatch = closeWhenCrashing(call, run, exchange, context)
  using stream = reservation.path === undefined ? undefined : registerStream(call, reservation, size, exchange, run, mayInterrupt, context)
  try {
    const result = await exchange.result
    if (result.kind === 'notSent') return { kind: 'notRun', cause: result.cause, faultyAddress: undefined, hasReachedTarget: false, isOwnLink: result.isOwnLink, isPause: result.obstacle === 'paused', hasLeft: result.obstacle === 'left' }
    if (result.kind === 'lost') return { kind: 'brokenOff', cause: result.cause, isBrokenByTarget: !exchange.isClosedHere() }
    run.answer = { framing: findFraming(result.answer, request.method ?? 'POST'), relay: exchange.relay() }
    const relayed = await relayStream(result.answer, exchange, call, progress, { run, stream: stream?.active, onProgress: stream?.noteProgress ?? (() => {}) }, context)
    if (relayed.kind === 'brokenOff' && signal.aborted) learnOutput(call, progress.lastEventId, { isWhole: false }, context)
    return relayed
  } finally {
    crashWatch[Symbol.dispose]()
    closing[Symbol.dispose]()
    exchange.close('exchange ended')
  }
}

interface RegisteredStream extends Disposable {
  active: ActiveStream
  noteProgress: (lastEventId: number | undefined, isHeldUp: boolean) => void
}

function registerStream (call: Call, reservation: Reservation, size: RequestSize, exchange: Exchange, run: TargetRun, mayInterrupt: () => boolean, context: GatewayContext): RegisteredStream {
  const { loadTracker, streams, runtime } = context
  /** Replaces the claim of the reservation once the stream makes progress or gets another path. */
  let claim: Claim | undefined
  let claimedSize = size
  /** Tokens at which the claim is planned again. */
  let untilTokens = 0
  const estimate = expectOutput(call, context)
  const active: ActiveStream = {
    requestId: call.facts.requestId,
    service: call.service,
    size,
    path: reservation.path!,
    lastProgressMs: runtime.monotonicMs(),
    hasStarted: false,
    meanPauseMs: 0,
    isRerouting: false,
    assignPath (path) {
      // An order for another path can fail after its stream has ended; nothing would release the claim.
      if (!streams.has(active)) return
      reservation[Symbol.dispose]()
      claim?.[Symbol.dispose]()
      claim = loadTracker.claim(path, claimedSize, { previousPath: active.path })
      active.path = path
    },
    mayInterrupt,
    isRelayed: () => exchange.relay() !== undefined,
    interrupt: cause => exchange.close(cause),
    leaveLink () {
      run.isLinkLost = true
      exchange.close('own link to the engine lost')
    }
  }
  const pace = createPaceObserver(call.service, () => active.path, context)
  streams.add(active)
  return {
    active,
    noteProgress (lastEventId, isHeldUp) {
      // Events can still arrive after the stream has ended; nothing would release the claim.
      if (!streams.has(active)) return
      pace.note(lastEventId, isHeldUp)
      const madeTokens = countTokens(call, lastEventId)
      if (madeTokens === undefined || madeTokens < untilTokens) return
      const planned = planClaim(estimate, { promptTokens: size.promptTokens, madeTokens, maxTokens: call.facts.maxOutputTokens })
      untilTokens = planned.untilTokens
      claimedSize = { promptTokens: size.promptTokens, outputTokens: Math.round(planned.tokens) - size.promptTokens }
      if (claim !== undefined) return claim.resize(claimedSize)
      reservation[Symbol.dispose]()
      claim = loadTracker.claim(active.path, claimedSize, { previousPath: active.path, isContinued: true })
    },
    [Symbol.dispose] () {
      streams.delete(active)
      claim?.[Symbol.dispose]()
    }
  }
}
