/**
 * Limits of client accounts on one entry. Each entry enforces its share of every limit without
 * asking the others; the shares of all entries add up to the limit.
 */
import type { Runtime } from '../../runtime/types.js'
import type { Account } from '../../ticket/types.js'
import type { EntryRank } from '../types.js'

/** Time for which an unused rate accumulates, in seconds. */
const BURST_S = 0.25

/** Token bucket of one rate, which limits either requests or model tokens. */
interface Bucket {
  /** What may still be used; below 0 if more was used than had accumulated. */
  left: number
  /** Monotonic time of the last refill, in milliseconds. */
  refilledMs: number
}

/** What one account uses on this entry. */
interface Usage {
  inFlight: number
  requests: Bucket
  tokens: Bucket
}

/** Whether an account may start a request. */
export type LimitResult =
  | { kind: 'granted', grant: LimitGrant }
  /** `allowed` is the limit over all entries, and `share` the part of this entry. */
  | { kind: 'refused', limit: 'inFlight' | 'requestsPerS' | 'tokensPerS', allowed: number, share: number, retryAfterMs: number }

/** What a request uses of its account's limits. Disposal lowers the number of requests in flight. */
export interface LimitGrant extends Disposable {
  /** Returns tokens that will not be generated to the account's rate. */
  refund: (tokens: number) => void
}

/** Time after which a caller should retry a request that was over the limit of requests in flight, in milliseconds. */
const IN_FLIGHT_RETRY_MS = 250

/**
 * @name createAccountLimits
 * @summary Creates the limits of all accounts on one entry.
 * @param options - Which of the entries this one is, and the runtime.
 * @returns `acquire`, which counts a request of at most `tokens` tokens or names the limit that it exceeds.
 *
 * @example
 * const limits = createAccountLimits({ rank: () => ({ entries: 3, rank: 0 }), runtime })
 * const result = limits.acquire(account, 64)
 */
export function createAccountLimits (options: { rank: () => EntryRank, runtime: Runtime }): { acquire: (account: Account, tokens: number) => LimitResult } {
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

  /** Adds what accumulated since the last refill, up to the capacity of the bucket. */
  function refill (bucket: Bucket, perS: number): void {
    const nowMs = runtime.monotonicMs()
    const capacity = Math.max(1, perS * BURST_S)
    bucket.left = Math.min(capacity, bucket.left + perS * (nowMs - bucket.refilledMs) / 1_000)
    bucket.refilledMs = nowMs
  }

  return {
    acquire (account, tokens) {
      const usage = usageOf(account.name)
      const { requestsPerS, tokensPerS, inFlight } = account.limits
      const { entries } = rank()
      if (inFlight !== undefined && usage.inFlight >= computeIntegerShare(inFlight, rank())) {
        return { kind: 'refused', limit: 'inFlight', allowed: inFlight, share: computeIntegerShare(inFlight, rank()), retryAfterMs: IN_FLIGHT_RETRY_MS }
      }
      if (requestsPerS !== undefined) {
        const share = requestsPerS / entries
        refill(usage.requests, share)
        if (usage.requests.left < 1) return { kind: 'refused', limit: 'requestsPerS', allowed: requestsPerS, share, retryAfterMs: computeRefillMs(1 - usage.requests.left, share) }
      }
      if (tokensPerS !== undefined) {
        const share = tokensPerS / entries
        refill(usage.tokens, share)
        if (usage.tokens.left <= 0) return { kind: 'refused', limit: 'tokensPerS', allowed: tokensPerS, share, retryAfterMs: computeRefillMs(1 - usage.tokens.left, share) }
      }
      usage.inFlight += 1
      usage.requests.left -= 1
      usage.tokens.left -= tokens
      return {
        kind: 'granted',
        grant: {
          refund: unused => { usage.tokens.left += unused },
          [Symbol.dispose]: () => { usage.inFlight -= 1 }
        }
      }
    }
  }
}

/** This entry's share of an integer limit; the shares of all entries add up to it exactly. */
function computeIntegerShare (limit: number, { entries, rank }: EntryRank): number {
  return Math.floor(limit / entries) + (rank < limit % entries ? 1 : 0)
}

/** Time until `missing` has accumulated at a rate, in milliseconds. */
function computeRefillMs (missing: number, perS: number): number {
  return Math.ceil(missing * 1_000 / perS)
}
