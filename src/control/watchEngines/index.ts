/**
 * Reading of the engines' own word, shared out among the control daemons. What one of them
 * learns reaches the entries by gossip, so that no entry asks engines itself.
 */
import type { EngineClient } from '../../engine/types.js'
import type { ModelScope } from '../../ticket/types.js'
import type { Daemon } from '../../daemon/types.js'
import { memberKey } from '../../member/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import { forEachBounded } from '../_lib/forEachBounded.js'

/** Time between readings of one engine, deadline of a reading, and readings under way. */
const READ_EVERY_MS = 1_000
const READ_TIMEOUT_MS = 1_000
const READS_AT_ONCE = 16

/** What the task works with. */
export interface WatchEnginesOptions {
  daemon: Pick<Daemon, 'holder' | 'table' | 'directory' | 'runtime' | 'signal'>
  engines: Pick<EngineClient, 'status'>
}

/**
 * @name watchEngines
 * @summary Reads this daemon's share of the engines until the daemon stops.
 * @param options - The daemon and the engine client.
 * @returns A promise that resolves when the daemon stops.
 *
 * @example
 * const task = watchEngines({ daemon, engines })
 */
export async function watchEngines ({ daemon, engines }: WatchEnginesOptions): Promise<void> {
  const { holder, table, directory, runtime, signal } = daemon

  async function readOne (target: string): Promise<void> {
    const address = directory.address(target)
    if (address === undefined || signal.aborted) return
    const read = await engines.status({ target, address }, { timeoutMs: READ_TIMEOUT_MS })
    if (read.kind === 'status' && read.status.leaving) directory.markLeaving(target, 'engine')
  }

  while (!signal.aborted) {
    const controls = table.live().filter(member => member.role === 'control').map(memberKey).sort()
    const share = { index: controls.indexOf(memberKey(table.self())), of: controls.length }
    const usable = chooseShare(holder.current().models, share).filter(target => directory.condition(target) !== 'leaving')
    await forEachBounded(usable, readOne, { limit: READS_AT_ONCE })
    await sleep(READ_EVERY_MS, { runtime, signal })
  }
}

/** Every n-th placed target by name: all shares together are all targets. */
function chooseShare (models: ReadonlyMap<string, ModelScope>, share: { index: number, of: number }): string[] {
  const targets = new Set([...models.values()].flatMap(model => model.placement.map(part => part.target)))
  return [...targets].sort().filter((_, index) => index % share.of === share.index)
}
