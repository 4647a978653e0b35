/**
 * Finds out whether a target is there at a moment. A result from before the question proves nothing, so
 * a check that is under way is not shared; those who ask meanwhile share the next one. The kernel closes
 * the connections of a process that ends one after another, the listening one possibly last, so a check
 * waits until that is over.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { Target } from '../../fleet/types.js'
import type { LinkCheck, TargetLinks } from '../../links/createTargetLinks/index.js'

/** Checks a target from now on; at most one check of a target runs at a time. */
export type CheckTarget = (target: Target) => Promise<LinkCheck>

/** Time in which the kernel closes all connections of a process that has ended, in milliseconds. */
const PROCESS_EXIT_MS = 25

interface CheckOptions {
  links: Pick<TargetLinks, 'check'>
  runtime: Runtime
}

interface TargetChecks {
  running: Promise<LinkCheck>
  next?: Promise<LinkCheck>
}

/** Creates the check, which connects twice at most to a target whose answers end at the same time. */
export function createTargetCheck ({ links, runtime }: CheckOptions): CheckTarget {
  const checks = new Map<string, TargetChecks>()
  function begin (key: string, target: Target): Promise<LinkCheck> {
    const entry: TargetChecks = { running: links.check(target, { isPeerAlwaysAsked: true }) }
    checks.set(key, entry)
    const finish = (): void => { if (entry.next === undefined) checks.delete(key) }
    entry.running.then(finish, finish)
    return entry.running
  }
  return async target => {
    await sleep(PROCESS_EXIT_MS, { runtime })
    const key = `${target.id} ${target.address}`
    const entry = checks.get(key)
    if (entry === undefined) return await begin(key, target)
    const beginNext = (): Promise<LinkCheck> => begin(key, target)
    entry.next ??= entry.running.then(beginNext, beginNext)
    return await entry.next
  }
}
