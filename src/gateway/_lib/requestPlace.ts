/**
 * Asks for the capacity that a try of a stream needs: how long it may wait, and until when a place
 * can be expected.
 */
import type { RequestSize } from '../../path/choosePath/index.js'
import { MIN_RETURN_MS } from '../../waiting/planReturn/index.js'
import type { PlaceOutcome } from '../../waiting/createDispatcher/index.js'
import type { Call, GatewayContext, Reservation } from '../types.js'
import { findCrashing } from './crashingRequests.js'
import { pauseLeftMs, reservePath } from './reserveCapacity.js'
import { reserveTarget } from './reserveTarget.js'

/** Longest useful wait of a new request for a reservation, as a multiple of the route's latency objective; callers give up on a silent stream after four. */
const MAX_WAIT_OBJECTIVES = 3

/** Most of the objective that the time from a place to the first event is taken for. */
const MAX_FIRST_EVENT_OBJECTIVES = 0.6

/** Time in which lost layers are likely to be loaded again, in milliseconds, counted from when engines last covered the whole model. */
const RELOAD_WINDOW_MS = 2_500

/** One try of a call that needs a place. */
export interface PlaceTry {
  size: RequestSize
  /** Targets that must not be used. */
  excluded: ReadonlySet<string>
  /** Whether the caller already has a part of the answer. */
  hasBegun: boolean
  /** Requests of the call that were sent to targets before. */
  tries: number
}

/** Resolves when the try has a place, is refused or is aborted. */
export async function requestPlace (call: Call, { size, excluded, hasBegun, tries }: PlaceTry, ownDomain: string, context: GatewayContext): Promise<PlaceOutcome<Reservation>> {
  const { route, service, signal } = call
  const { fleet, runtime } = context
  const { model } = service
  const startMs = runtime.monotonicMs()
  let lastCoveredMs = startMs
  const elapsedMs = tries === 0 ? startMs - call.startedMs : 0
  const maxWaitMs = Math.min(MAX_WAIT_OBJECTIVES * route.objectiveMs - elapsedMs, call.deadlineAtMs - startMs)
  const waitUntilMs = startMs + maxWaitMs
  const dispatcher = context.dispatcherOf(service.name)
  const account = call.account ?? ''
  const firstTryMs = tries === 0 ? dispatcher.elapsedMs(JSON.stringify([route.name, account]), Math.min(call.facts.deadlineMs, route.timeoutMs)) : 0
  const firstEventMs = Math.min(dispatcher.firstEventMs(), MAX_FIRST_EVENT_OBJECTIVES * route.objectiveMs)
  return await dispatcher.request({
    rank: call.rank,
    account,
    hasBegun,
    maxWaitMs,
    onTimeMs: route.objectiveMs - firstEventMs - firstTryMs - (startMs - call.startedMs),
    isReturning: firstTryMs >= MIN_RETURN_MS,
    tryReservePlace () {
      return model === undefined ? reserveTarget(service, excluded, ownDomain, context) : reservePath(service, size, excluded, ownDomain, context)
    },
    isPlaceExpected () {
      if (findCrashing(call, context) !== undefined) return false
      if (runtime.monotonicMs() + pauseLeftMs(service, excluded, context) > waitUntilMs) return false
      if (model === undefined) return fleet.servingTargets(service.name).length > 0
      if (context.checkCoverage(service).isWhole) lastCoveredMs = runtime.monotonicMs()
      return runtime.monotonicMs() - lastCoveredMs < RELOAD_WINDOW_MS
    },
    ...(model === undefined ? {} : { isStalled: () => !context.checkCoverage(service).isWhole }),
    signal
  })
}
