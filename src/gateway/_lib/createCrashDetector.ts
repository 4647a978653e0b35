/**
 * Tells a target that has ended from one that broke off an answer, and from a link of this host that
 * was lost: nothing listens at its address any more, and no peer reaches it either. Its entry in the
 * store shows that only seconds later.
 */
import type { Target } from '../../fleet/types.js'
import type { CheckTarget } from './createTargetCheck.js'

/** Creates a detector for targets that have just broken off an answer. */
export function createCrashDetector ({ checkTarget }: { checkTarget: CheckTarget }): (target: Target) => Promise<boolean> {
  // The store names a target that leaves; its end is no crash.
  return async target => !target.isLeaving && await checkTarget(target) === 'unreachable'
}
