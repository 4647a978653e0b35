/**
 * Expected cost of a call, by which it reserves capacity, and what its answer teaches.
 */
import type { StreamTraits } from '../../cost/createCostModel/index.js'
import type { ExpectedCost } from '../../cost/types.js'
import type { RequestSize } from '../../path/choosePath/index.js'
import type { Call, CallFacts, GatewayContext } from '../types.js'

/** What of a call its cost is expected by. */
export interface PricedCall extends Pick<Call, 'service' | 'account'> {
  facts: Pick<CallFacts, 'promptTokens' | 'maxOutputTokens' | 'hintedOutputTokens' | 'promptParts'>
  route: Pick<Call['route'], 'name'>
}

type CostContext = Pick<GatewayContext, 'costs'>

function traitsOf ({ route, account, facts, service }: PricedCall): StreamTraits {
  return {
    route: route.name,
    account,
    sharedParts: facts.promptParts.slice(0, -1),
    usualTokens: service.model?.usualOutputTokens ?? facts.maxOutputTokens,
    maxTokens: facts.maxOutputTokens,
    hintedTokens: facts.hintedOutputTokens
  }
}

/** Expected tokens of the whole answer to a call. */
export function expectOutput (call: PricedCall, { costs }: CostContext): ExpectedCost {
  return costs.expectTokens(traitsOf(call))
}

/** Estimates the size of a request from the caller's parameters, the model's usual output and earlier answers. */
export function estimateRequestSize (call: PricedCall, context: CostContext): RequestSize {
  const { maxOutputTokens, promptTokens } = call.facts
  return { promptTokens, outputTokens: Math.min(maxOutputTokens, Math.round(expectOutput(call, context).outputTokens)) }
}

/** Tokens in the events up to one; `undefined` where the model does not say how many an event holds. */
export function countTokens (call: Pick<Call, 'service'>, lastEventId: number | undefined): number | undefined {
  const tokensPerEvent = call.service.model?.tokensPerEvent
  return tokensPerEvent === undefined || lastEventId === undefined ? undefined : lastEventId * tokensPerEvent
}

/** Learns from an answer that ended, or was cut, after an event. */
export function learnOutput (call: PricedCall, lastEventId: number | undefined, options: { isWhole: boolean }, { costs }: CostContext): void {
  const madeTokens = countTokens(call, lastEventId)
  if (madeTokens !== undefined) costs.noteTokens(traitsOf(call), Math.min(madeTokens, call.facts.maxOutputTokens), options)
}
