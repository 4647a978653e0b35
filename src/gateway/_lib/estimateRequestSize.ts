/**
 * Expected size of a request, by which it reserves capacity.
 */
import type { RequestSize } from '../../path/choosePath/index.js'
import type { Call } from '../types.js'

/** Weight of the caller's estimate against the usual output; the estimate is often inaccurate. */
const HINT_WEIGHT = 0.5

/** Estimates the size of a request from the caller's parameters and the model's usual output. */
export function estimateRequestSize (call: Pick<Call, 'facts' | 'service'>): RequestSize {
  const { facts, service } = call
  const usual = service.model?.usualOutputTokens ?? facts.maxOutputTokens
  const expected = facts.hintedOutputTokens === undefined ? usual : HINT_WEIGHT * facts.hintedOutputTokens + (1 - HINT_WEIGHT) * usual
  return { promptTokens: facts.promptTokens, outputTokens: Math.min(facts.maxOutputTokens, Math.round(expected)) }
}
