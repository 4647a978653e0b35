/**
 * Refusals of this process, kept in memory for `explain`.
 */
import { REASONS } from '../../verdict/reasons.js'
import type { Runtime } from '../../runtime/types.js'
import type { RefusalBook } from '../types.js'

/** Refusals that are kept; the oldest go first. */
const KEPT_REFUSALS = 50_000

/**
 * @name createRefusalBook
 * @summary An empty book.
 * @param options - The runtime.
 * @returns The book.
 *
 * @example
 * const book = createRefusalBook({ runtime })
 * book.add(refusal, { request })
 */
export function createRefusalBook (options: { runtime: Runtime }): RefusalBook {
  const kept = new Map<string, Record<string, unknown>>()
  return {
    add (refusal, context) {
      const { number, title } = REASONS[refusal.reason]
      kept.set(refusal.id, { ...context, ...refusal, reasonNumber: number, title, refusedMs: options.runtime.nowMs() })
      const oldest = kept.keys().next().value
      if (kept.size > KEPT_REFUSALS && oldest !== undefined) kept.delete(oldest)
    },
    find: id => kept.get(id)
  }
}
