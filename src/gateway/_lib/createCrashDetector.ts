/**
 * Tells a target that has ended from one that broke off an answer, and from a link of this host that
 * was lost: nothing listens at its address any more, and no peer reaches it either. Its entry in the
 * store shows that only seconds later.
 */
import type { Target } from '../../fleet/types.js'
import type { TargetLinks } from '../../links/createTargetLinks/index.js'
import type { Runtime } from '../../runtime/types.js'

/** Time for which a result holds, in milliseconds; all exchanges with a target break within a few. */
const RESULT_VALID_MS = 100

interface DetectorOptions {
  links: Pick<TargetLinks, 'check'>
  runtime: Runtime
}

/** Creates a detector, which connects once to a target however many answers break off at the same time. */
export function createCrashDetector ({ links, runtime }: DetectorOptions): (target: Target) => Promise<boolean> {
  const results = new Map<string, Promise<boolean>>()
  return target => {
    const known = results.get(target.id)
    if (known !== undefined) return known
    // The store names a target that leaves; its end is no crash.
    const result = target.isLeaving ? Promise.resolve(false) : links.check(target, { isPeerAlwaysAsked: true }).then(check => check === 'unreachable')
    results.set(target.id, result)
    runtime.setTimer(RESULT_VALID_MS, () => results.delete(target.id))
    return result
  }
}
