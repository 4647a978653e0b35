/**
 * Orders the requests that wait for a place. It is meant for the load pattern in which kinds of
 * request and accounts of very different size compete for too little room: each place goes to the
 * request whose caller loses most by waiting, and none is starved.
 *
 * First by rank; a rank that was served less than half as often as all goes first until it is not.
 * Within a rank: callers that return when they were told to, up to their share of the places; then
 * requests that can still be in time, then late ones. Among these the account that was served less
 * than half as often as all, then the one that was served least, then arrival.
 */

/** A request that waits. */
export interface WaitingRequest {
  rank: number
  account: string
  arrivedMs: number
  /** Time until which a place is early enough for an answer in time. */
  onTimeUntilMs: number
  /** Whether its caller was refused before and returns no earlier than it was told. */
  isReturning: boolean
}

/** How much was served of what was asked for. */
export interface ServedShare {
  asked: number
  served: number
}

/** What the order depends on beside the requests. */
export interface QueueOrderFacts {
  nowMs: number
  /** Whether the next place is within the share of returning callers. */
  isReturnTurn: boolean
  /** Requests of a rank, over all hosts. */
  rankShare: (rank: number) => ServedShare
  /** Requests of an account, over all hosts; older ones count less. */
  accountShare: (account: string) => ServedShare
  /** Requests of all accounts, and of all ranks. */
  overall: { accounts: ServedShare, ranks: ServedShare }
}

/** Part of the overall ratio of served to asked below which a rank or an account goes first. */
const STARVED_RATIO = 0.5

/** Requests asked for from which a ratio is judged; below, it is mostly chance. */
const MIN_ASKED = 8

/**
 * @name orderQueue
 * @summary Orders waiting requests.
 * @param requests - The requests.
 * @param facts - Time, and what was served of ranks and accounts.
 * @returns The requests, the next to be served first.
 *
 * @example
 * const [next] = orderQueue(waiting, { nowMs, isReturnTurn, rankShare, accountShare, overall })
 */
export function orderQueue<Request extends WaitingRequest> (requests: readonly Request[], { nowMs, isReturnTurn, rankShare, accountShare, overall }: QueueOrderFacts): Request[] {
  const rankKeys = new Map<number, number>()
  const accountKeys = new Map<string, { isFed: number, served: number }>()
  const rankKeyOf = (rank: number): number => remember(rankKeys, rank, () => isStarved(rankShare(rank), overall.ranks) ? -Infinity : rank)
  const accountKeyOf = (account: string): { isFed: number, served: number } => remember(accountKeys, account, () => {
    const share = accountShare(account)
    return { isFed: isStarved(share, overall.accounts) ? 0 : 1, served: share.served }
  })
  const urgency = ({ isReturning, onTimeUntilMs }: Request): number => {
    if (isReturning) return isReturnTurn ? 0 : 2
    return onTimeUntilMs >= nowMs ? 1 : 3
  }
  return requests
    .map(request => ({ request, rank: rankKeyOf(request.rank), urgency: urgency(request), ...accountKeyOf(request.account) }))
    .sort((a, b) => compare(a.rank, b.rank) || a.urgency - b.urgency || a.isFed - b.isFed || a.served - b.served || a.request.arrivedMs - b.request.arrivedMs)
    .map(({ request }) => request)
}

const compare = (one: number, other: number): number => one === other ? 0 : one < other ? -1 : 1

/** Whether so little was served of what was asked for that it goes first. */
export function isStarved ({ asked, served }: ServedShare, overall: ServedShare): boolean {
  return asked >= MIN_ASKED && served * overall.asked < STARVED_RATIO * overall.served * asked
}

function remember<Key, Value> (values: Map<Key, Value>, key: Key, compute: () => Value): Value {
  const known = values.get(key)
  if (known !== undefined) return known
  const value = compute()
  values.set(key, value)
  return value
}
