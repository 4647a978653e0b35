/**
 * One host's view of a shared store, with the fate of each of its writes chosen by a test.
 */
import type { MemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import type { ObjectStore, WriteResult } from '../../src/objectApi/types.js'
import { sleep } from '../../src/runtime/sleep/index.js'
import type { Runtime } from '../../src/runtime/types.js'

/** What becomes of one write. `paused` holds the writer up after it took effect. */
export type WriteOutcome = 'ok' | 'loseAnswer' | 'hold' | 'down' | 'paused' | 'killedBefore' | 'killedAfter'

/** How long a paused writer stands still: longer than any time to send. */
export const PAUSE_MS = 60_000

/** A view that takes the fates in order and then none. */
export function createScriptedStore (store: MemoryObjectStore, fates: WriteOutcome[], runtime: Runtime): ObjectStore {
  const queue = [...fates]
  const never = (): Promise<WriteResult> => new Promise(() => {})
  return {
    ...store,
    async write (key, value, condition) {
      const fate = queue.shift() ?? 'ok'
      if (fate === 'down') return { kind: 'notApplied', cause: 'down' }
      if (fate === 'killedBefore') return await never()
      if (fate === 'hold') store.faults.holdWrites = 1
      const result = await store.write(key, value, condition)
      if (fate === 'killedAfter') return await never()
      if (fate === 'paused') await sleep(PAUSE_MS, { runtime })
      return fate === 'loseAnswer' ? { kind: 'mayBeApplied', cause: 'answer lost' } : result
    }
  }
}
