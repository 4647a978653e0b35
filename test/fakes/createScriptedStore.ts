/**
 * One host's access to a shared store; a test chooses the outcome of each of its writes.
 */
import type { MemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import type { ObjectStore, WriteResult } from '../../src/objectApi/types.js'
import { sleep } from '../../src/runtime/sleep/index.js'
import type { Runtime } from '../../src/runtime/types.js'

/**
 * Outcome of one write: `loseAnswer` applies it and loses the answer, `hold` loses the answer and holds
 * the write back in the store, `down` does not apply it, `paused` stops the writer for `PAUSE_MS` after
 * the write, and the `killed` ones end the writer before or after it.
 */
export type WriteOutcome = 'ok' | 'loseAnswer' | 'hold' | 'down' | 'paused' | 'killedBefore' | 'killedAfter'

/** Time that a paused writer stops for: longer than any limit on sending. */
export const PAUSE_MS = 60_000

/** Creates access whose writes take the given outcomes in order; later writes succeed. */
export function createScriptedStore (store: MemoryObjectStore, outcomes: WriteOutcome[], runtime: Runtime): ObjectStore {
  const queue = [...outcomes]
  const never = (): Promise<WriteResult> => new Promise(() => {})
  return {
    ...store,
    async write (key, value, condition) {
      const outcome = queue.shift() ?? 'ok'
      if (outcome === 'down') return { kind: 'notApplied', cause: 'down' }
      if (outcome === 'killedBefore') return await never()
      if (outcome === 'hold') store.faults.holdWrites = 1
      const result = await store.write(key, value, condition)
      if (outcome === 'killedAfter') return await never()
      if (outcome === 'paused') await sleep(PAUSE_MS, { runtime })
      return outcome === 'loseAnswer' ? { kind: 'mayBeApplied', cause: 'answer lost' } : result
    }
  }
}
