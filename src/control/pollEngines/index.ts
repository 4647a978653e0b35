/**
 * Polls the engines for whether they are leaving. The engines are divided among the control daemons;
 * what one of them learns reaches the entries by gossip, so that entries need not poll engines.
 */
import type { EngineClient } from '../../engine/types.js'
import type { ModelScope } from '../../ticket/types.js'
import type { Daemon } from '../../daemon/types.js'
import { memberKey } from '../../member/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import { forEachConcurrently } from '../_lib/forEachConcurrently.js'

/** Wait between two polls, timeout of one status call, and most calls in flight at once. */
const POLL_INTERVAL_MS = 1_000
const STATUS_TIMEOUT_MS = 1_000
const MAX_CONCURRENT_CALLS = 16

/** Dependencies of the task. */
export interface PollEnginesOptions {
  daemon: Pick<Daemon, 'holder' | 'table' | 'directory' | 'runtime' | 'signal'>
  engines: Pick<EngineClient, 'status'>
}

/**
 * @name pollEngines
 * @summary Polls this daemon's share of the engines until the daemon stops.
 * @param options - The daemon and the engine client.
 * @returns A promise that resolves when the daemon stops.
 *
 * @example
 * const task = pollEngines({ daemon, engines })
 */
export async function pollEngines ({ daemon, engines }: PollEnginesOptions): Promise<void> {
  const { holder, table, directory, runtime, signal } = daemon

  async function pollEngine (target: string): Promise<void> {
    const address = directory.address(target)
    if (address === undefined || signal.aborted) return
    const response = await engines.status({ target, address }, { timeoutMs: STATUS_TIMEOUT_MS })
    if (response.kind === 'status' && response.status.leaving) directory.markLeaving(target, 'engine')
  }

  while (!signal.aborted) {
    const controlKeys = table.live().filter(member => member.role === 'control').map(memberKey).sort()
    const share = { index: controlKeys.indexOf(memberKey(table.self())), of: controlKeys.length }
    const targetsToPoll = selectShare(holder.current().models, share).filter(target => directory.condition(target) !== 'leaving')
    await forEachConcurrently(targetsToPoll, pollEngine, { limit: MAX_CONCURRENT_CALLS })
    await sleep(POLL_INTERVAL_MS, { runtime, signal })
  }
}

/** One of `share.of` disjoint shares of the placed targets: every n-th one in order of name. */
function selectShare (models: ReadonlyMap<string, ModelScope>, share: { index: number, of: number }): string[] {
  const targets = new Set([...models.values()].flatMap(model => model.placement.map(part => part.target)))
  return [...targets].sort().filter((_, index) => index % share.of === share.index)
}
