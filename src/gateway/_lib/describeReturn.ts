/**
 * When a caller that is refused should return: when there will be room for it, or when a target
 * ends its pause.
 */
import type { Call, GatewayContext } from '../types.js'
import { pauseLeftMs } from './reserveCapacity.js'

/** Time over which callers return after the end of a pause, in milliseconds. */
const RETURN_SPREAD_MS = 1_000

/** Part of its time left up to which a caller honors a return. */
const HONORED_SHARE = 1 / 3

/** What a refused caller is told, and why. */
export interface ReturnDescription {
  retryAfterMs: number
  /** Whether a place was kept in mind for its return; absent without an excess. */
  isSlot?: boolean
  /** Time until the first target ends its pause, in milliseconds; absent without a pause. */
  pauseLeftMs?: number
}

type ReturnContext = Pick<GatewayContext, 'fleet' | 'suspicions' | 'targetPauses' | 'dispatcherOf' | 'runtime'>

/**
 * Describes when a refused caller should return. While more is asked for than is served, the queue plans it; otherwise
 * it is the default, but no more than the caller honors. A pause of all targets is waited for in any case, and the
 * callers spread behind it.
 */
export function describeReturn (call: Pick<Call, 'service' | 'rank' | 'deadlineAtMs'>, { defaultMs, expectedWaitMs = 0 }: { defaultMs: number, expectedWaitMs?: number | null }, context: ReturnContext): ReturnDescription {
  const { service, rank, deadlineAtMs } = call
  const leftMs = Math.max(0, deadlineAtMs - context.runtime.monotonicMs())
  const plan = context.dispatcherOf(service.name).planReturn({ rank, leftMs, expectedWaitMs: expectedWaitMs ?? Infinity })
  const plannedMs = plan?.retryAfterMs ?? Math.round(Math.min(defaultMs, leftMs * HONORED_SHARE))
  const pauseMs = pauseLeftMs(service, new Set(), context)
  const slot = plan === undefined ? {} : { isSlot: plan.isSlot }
  if (pauseMs === 0) return { retryAfterMs: plannedMs, ...slot }
  return { retryAfterMs: Math.round(Math.max(plannedMs, pauseMs + context.runtime.random() * RETURN_SPREAD_MS)), ...slot, pauseLeftMs: Math.round(pauseMs) }
}
