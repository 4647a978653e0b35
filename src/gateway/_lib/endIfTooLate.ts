/**
 * Refuses a call of which nothing has run when its host, which shuts down, could not answer it in time.
 */
import type { Call, GatewayContext } from '../types.js'
import { isTooLateToBegin } from '../isTooLateToBegin/index.js'
import { endWithReason, type LogDetails } from './answerCaller.js'

/** Ends the call as not run if it is too late to begin it; returns whether it did. `units` are those of the `DurationModel`. */
export function endIfTooLate (call: Call, units: number, context: GatewayContext, details: LogDetails): boolean {
  const graceLeftMs = context.graceLeftMs()
  if (graceLeftMs === undefined) return false
  const expectedMs = context.durations.expectMs(call.route.name, units)
  if (!isTooLateToBegin({ graceLeftMs, expectedMs, isOtherHostReady: context.isOtherHostReady() })) return false
  endWithReason(call, context, 'draining', { ...details, expectedMs: Math.round(expectedMs!), graceLeftMs: Math.round(graceLeftMs), retryAfterMs: 0 })
  return true
}
