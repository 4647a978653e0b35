/**
 * Limits of client accounts on one entry: its share of each limit, so that the shares of all
 * entries together never pass it.
 */
import type { Runtime } from '../../runtime/types.js'
import type { Account } from '../../ticket/types.js'
import type { EntryRank } from '../types.js'

/** Time over which an unused rate may be saved up, in seconds. */
const BURST_S = 0.25

/** A rate that is used up and refills. */
interface Bucket {
  left: number
  refilledMs: number
}

/** Usage of one account on this entry. */
interface Usage {
  inFlight: number
  requests: Bucket
  tokens: Bucket
}

/** Whether an account may start a request. */
export type LimitResult =
  | { kind: 'taken', taken: TakenLimit }
  | { kind: 'refused', limit: 'inFlight' | 'requestsPerS' | 'tokensPerS', allowed: number, share: number, retryAfterMs: number }

/** What a request holds of its account's limits; disposal frees it. */
export interface TakenLimit extends Disposable {
  /** Gives back tokens that will not be produced. */
  refund: (tokens: number) => void
}

/** When a caller should come back that meets a limit in flight. */
const IN_FLIGHT_RETRY_MS = 250

/**
 * @name createAccountLimits
 * @summary The limits of all accounts on one entry.
 * @param options - Which of the entries this one is, and the runtime.
 * @returns `take`, which starts a request or names the limit that forbids it.
 *
 * @example
 * const limits = createAccountLimits({ rank: () => ({ entries: 3, rank: 0 }), runtime })
 * const result = limits.take(account, 64)
 */
export function createAccountLimits (options: { rank: () => EntryRank, runtime: Runtime }): { take: (account: Account, tokens: number) => LimitResult } {
  const { rank, runtime } = options
  const usages = new Map<string, Usage>()

  function usageOf (name: string): Usage {
    const known = usages.get(name)
    if (known !== undefined) return known
    const refilledMs = runtime.monotonicMs()
    const usage = { inFlight: 0, requests: { left: Infinity, refilledMs }, tokens: { left: Infinity, refilledMs } }
    usages.set(name, usage)
    return usage
  }

  /** Adds what came in since the last look, up to the burst. */
  function refill (bucket: Bucket, perS: number): void {
    const nowMs = runtime.monotonicMs()
    const most = Math.max(1, perS * BURST_S)
    bucket.left = Math.min(most, bucket.left + perS * (nowMs - bucket.refilledMs) / 1_000)
    bucket.refilledMs = nowMs
  }

  return {
    take (account, tokens) {
      const usage = usageOf(account.name)
      const { requestsPerS, tokensPerS, inFlight } = account.limits
      const { entries } = rank()
      if (inFlight !== undefined && usage.inFlight >= shareWhole(inFlight, rank())) {
        return { kind: 'refused', limit: 'inFlight', allowed: inFlight, share: shareWhole(inFlight, rank()), retryAfterMs: IN_FLIGHT_RETRY_MS }
      }
      if (requestsPerS !== undefined) {
        const share = requestsPerS / entries
        refill(usage.requests, share)
        if (usage.requests.left < 1) return { kind: 'refused', limit: 'requestsPerS', allowed: requestsPerS, share, retryAfterMs: waitMs(1 - usage.requests.left, share) }
      }
      if (tokensPerS !== undefined) {
        const share = tokensPerS / entries
        refill(usage.tokens, share)
        if (usage.tokens.left <= 0) return { kind: 'refused', limit: 'tokensPerS', allowed: tokensPerS, share, retryAfterMs: waitMs(1 - usage.tokens.left, share) }
      }
      usage.inFlight += 1
      usage.requests.left -= 1
      usage.tokens.left -= tokens
      return {
        kind: 'taken',
        taken: {
          refund: unused => { usage.tokens.left += unused },
          [Symbol.dispose]: () => { usage.inFlight -= 1 }
        }
      }
    }
  }
}

/** Part of a whole number, so that the parts of all entries add up to it. */
function shareWhole (limit: number, { entries, rank }: EntryRank): number {
  return Math.floor(limit / entries) + (rank < limit % entries ? 1 : 0)
}

function waitMs (missing: number, perS: number): number {
  return Math.ceil(missing * 1_000 / perS)
}
