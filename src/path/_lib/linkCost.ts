/**
 * Cost to a request of crossing the link between two failure domains, which all requests share.
 */
import type { Target } from '../../fleet/types.js'
import type { PathOptions, RequestSize } from '../choosePath/index.js'

/** Factor on a request's own transfer time across a link: the transfer also delays the other requests on the link. */
const CROSSING_WEIGHT = 2

/** Time window over which the utilization of a link is averaged, in milliseconds. */
export const LINK_WINDOW_MS = 500

/** Utilization above which a link accepts no more requests; beyond it transfers queue. */
const MAX_LINK_UTILIZATION = 0.6

/** Delay that a crossing adds to each token, in milliseconds; of the same order as the configured delays between failure domains. */
export const CROSSING_TOKEN_MS = 0.5

/** Prompt tokens that are sent across a link in one transfer; a token queued behind a transfer waits for half of it on average. */
const TRANSFER_CHUNK_TOKENS = 512

/** Transfer time of one byte at 1 Mbps, in milliseconds. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1_000

/** Key of the load of the link between two failure domains, the same for both directions. */
export function linkKey (domainA: string, domainB: string): string {
  return `link ${domainA < domainB ? `${domainA} ${domainB}` : `${domainB} ${domainA}`}`
}

/** Tokens of a request that a link still accepts. */
export function countFreeLinkTokens (domainA: string, domainB: string, { model, loadOf }: Pick<PathOptions, 'model' | 'loadOf'>): number {
  const tokenMs = model.activationBytes * MS_PER_BYTE_AT_1_MBPS / model.pipeMbps
  return Math.max(0, MAX_LINK_UTILIZATION * LINK_WINDOW_MS / tokenMs - loadOf(linkKey(domainA, domainB)).tokenLayers)
}

/** Expected time in milliseconds that a crossing adds to the whole request, or `undefined` when its link is full. */
export function estimateCrossingMs (from: Target, to: Target, size: RequestSize, options: PathOptions): number | undefined {
  const { model } = options
  const tokenMs = model.activationBytes * MS_PER_BYTE_AT_1_MBPS / model.pipeMbps
  const link = linkKey(from.failureDomain, to.failureDomain)
  const crossedTokens = options.loadOf(link).tokenLayers + size.promptTokens + size.outputTokens
  const utilization = Math.min(0.95, crossedTokens * tokenMs / LINK_WINDOW_MS)
  if (utilization > MAX_LINK_UTILIZATION && options.isOvercommitted !== true) return undefined
  const waitMs = utilization * Math.min(TRANSFER_CHUNK_TOKENS, model.usualPromptTokens) * tokenMs / 2
  const costFactor = options.linkCostFactor?.(link) ?? 1
  return costFactor * CROSSING_WEIGHT * size.promptTokens * tokenMs / (1 - utilization) + (CROSSING_TOKEN_MS + waitMs) * size.outputTokens
}
