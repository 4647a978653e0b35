/**
 * What it costs a request to take the link between two failure domains, which all requests share.
 */
import type { Target } from '../../fleet/types.js'
import type { PathOptions, RequestSize } from '../choosePath/index.js'

/** Weight of a crossing between failure domains over its own transfer time: the link is shared by all requests. */
const CROSSING_WEIGHT = 2

/** Time over which the use of a link is averaged, in milliseconds. */
export const LINK_WINDOW_MS = 500

/** Use of a link up to which requests are sent over it; transfers queue beyond. */
const LINK_USE_LIMIT = 0.6

/** Delay that a crossing adds to each token, in milliseconds; the configuration's delays between domains are of this order. */
export const CROSSING_TOKEN_MS = 0.5

/** Tokens of a prompt that are sent across as one transfer; a token behind it waits for half of it on average. */
const TRANSFER_TOKENS = 512

/** Bits in a byte, over bits in a megabit, times milliseconds in a second. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1_000

/** Key under which the load of the link between two failure domains is kept. */
export function linkKey (one: string, other: string): string {
  return `link ${one < other ? `${one} ${other}` : `${other} ${one}`}`
}

/** Expected time that a crossing adds to the whole request, or `undefined` when its link is full. */
export function crossingMs (from: Target, to: Target, size: RequestSize, options: PathOptions): number | undefined {
  const { model } = options
  const tokenMs = model.activationBytes * MS_PER_BYTE_AT_1_MBPS / model.pipeMbps
  const link = linkKey(from.failureDomain, to.failureDomain)
  const crossedTokens = options.loadOf(link).tokenLayers + size.promptTokens + size.outputTokens
  const use = Math.min(0.95, crossedTokens * tokenMs / LINK_WINDOW_MS)
  if (use > LINK_USE_LIMIT && options.isOvercommitted !== true) return undefined
  const waitMs = use * Math.min(TRANSFER_TOKENS, model.usualPromptTokens) * tokenMs / 2
  const bias = options.linkCostFactor?.(link) ?? 1
  return bias * CROSSING_WEIGHT * size.promptTokens * tokenMs / (1 - use) + (CROSSING_TOKEN_MS + waitMs) * size.outputTokens
}
