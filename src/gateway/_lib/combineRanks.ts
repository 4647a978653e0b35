/**
 * Priority of a request from those of its account and its route.
 */

/** Weight of an account's rank over that of a route, so that accounts are compared first. */
const ACCOUNT_RANK_WEIGHT = 100

/** Combines the rank of an account, 0 if it has none, with that of a route. */
export function combineRanks (accountRank: number | undefined, routeRank: number): number {
  return (accountRank ?? 0) * ACCOUNT_RANK_WEIGHT + routeRank
}
