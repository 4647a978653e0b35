/**
 * Updates the state of an answer after a fault of its chain: which targets the next chain leaves out,
 * and which still hold KV cache.
 */
import type { ModelScope } from '../../ticket/types.js'
import type { Finding } from '../examineChain/index.js'
import type { Chain } from '../types.js'
import type { AnswerState } from './answerState.js'

/** The failed attempt that a finding is about. */
export interface ApplyFindingOptions {
  chain: Chain
  model: ModelScope
  /** Stage whose stream ended or failed; absent when a deadline passed without a token. */
  endedTarget?: string | undefined
  /** Whether the attempt delivered any token. */
  hasProgressed: boolean
}

/** Updates `state` in place. Stages that are not at fault keep their KV cache. */
export function applyFinding (state: AnswerState, finding: Finding, options: ApplyFindingOptions): void {
  const { chain, endedTarget, hasProgressed } = options
  if (hasProgressed) {
    state.kept.clear()
    for (const { target } of chain) state.kept.add(target)
  }
  if (finding.kind === 'targetsLost') return finding.targets.forEach(state.avoidAndSuspect)
  if (finding.kind === 'sequenceLost') {
    for (const target of finding.targets) state.kept.delete(target)
  }
  if (finding.kind === 'linkLost' && endedTarget === undefined) return avoidLink(state, finding, options)
  // An attempt that failed on live targets before its first token would fail there again.
  if (!hasProgressed) state.avoid(endedTarget ?? chain.at(-1)!.target)
}

/**
 * Avoids the ends of a lost link that the model can replace by another target with the same layers.
 * A single examination cannot tell which end is at fault, so both are avoided where possible.
 */
function avoidLink (state: AnswerState, link: Extract<Finding, { kind: 'linkLost' }>, { chain, model }: ApplyFindingOptions): void {
  state.noteLostLink(link)
  for (const target of [link.from, link.to]) {
    const stage = chain.find(candidate => candidate.target === target)
    const hasOther = model.placement.some(other => {
      return other.target !== target && other.fromLayer === stage?.fromLayer && other.toLayer === stage.toLayer && state.isUsable(other.target)
    })
    if (hasOther) state.avoid(target)
  }
}
