/**
 * What an answer does about a fault of its chain: which targets it leaves out of the next chain,
 * and which still hold KV cache.
 */
import type { ModelScope } from '../../ticket/types.js'
import type { Finding } from '../examineChain/index.js'
import type { Chain } from '../types.js'
import type { Progress } from './progress.js'

/** What deciding needs to know. */
export interface TakeFindingOptions {
  chain: Chain
  model: ModelScope
  /** Stage whose stream ended, if that is how the loss showed. */
  endedTarget?: string | undefined
  /** Whether the attempt gave any token. */
  hasProgressed: boolean
}

/** Changes the progress by a finding. Stages that are not at fault keep their KV cache. */
export function takeFinding (progress: Progress, finding: Finding, options: TakeFindingOptions): void {
  const { chain, endedTarget, hasProgressed } = options
  if (hasProgressed) {
    progress.kept.clear()
    for (const { target } of chain) progress.kept.add(target)
  }
  if (finding.kind === 'targetsLost') return finding.targets.forEach(progress.blame)
  if (finding.kind === 'sequenceLost') {
    for (const target of finding.targets) progress.kept.delete(target)
  }
  if (finding.kind === 'linkLost' && endedTarget === undefined) return avoidLink(progress, finding, options)
  // An attempt that is lost on live targets before its first token would only be lost again.
  if (!hasProgressed) progress.avoid(endedTarget ?? chain.at(-1)!.target)
}

/**
 * Leaves out both ends of a lost link where the model has other targets for them, as one look
 * cannot tell which end is at fault; otherwise the one end that can be replaced.
 */
function avoidLink (progress: Progress, link: Extract<Finding, { kind: 'linkLost' }>, { chain, model }: TakeFindingOptions): void {
  progress.noteLink(link)
  for (const target of [link.from, link.to]) {
    const part = chain.find(stage => stage.target === target)
    const hasOther = model.placement.some(other => {
      return other.target !== target && other.fromLayer === part?.fromLayer && other.toLayer === part.toLayer && progress.isUsable(other.target)
    })
    if (hasOther) progress.avoid(target)
  }
}
