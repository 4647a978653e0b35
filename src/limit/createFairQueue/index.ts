/**
 * Weighted fair queue with self-clocked virtual time (S. J. Golestani, "A self-clocked fair
 * queueing scheme for broadband applications", 1994), with tokens as the unit of work.
 */

/** One queued item. */
export interface QueuedItem<T> {
  value: T
  account: string
  tokens: number
  /** Virtual finish time, by which the queue is ordered. */
  finish: number
}

/** A queue that serves accounts in proportion to their weights. */
export interface FairQueue<T> {
  /** Adds an item of `tokens` tokens for an account. */
  push: (value: T, work: { account: string, tokens: number, weight: number }) => QueuedItem<T>
  /** The next item, without removing it. */
  peek: () => QueuedItem<T> | undefined
  /** Removes and returns the next item. */
  shift: () => QueuedItem<T> | undefined
  remove: (item: QueuedItem<T>) => void
  /** Tokens of the queued items that would be served before new work of an account. */
  tokensAhead: (work: { account: string, tokens: number, weight: number }) => number
  size: () => number
  /** Number of queued items of one account. */
  sizeOf: (account: string) => number
}

/**
 * @name createFairQueue
 * @summary Creates an empty weighted fair queue.
 * @returns The queue.
 *
 * @example
 * const queue = createFairQueue<string>()
 * queue.push('first', { account: 'studio', tokens: 64, weight: 1 })
 */
export function createFairQueue<T> (): FairQueue<T> {
  const items: Array<QueuedItem<T>> = []
  /** Virtual finish time of the last item of each account, queued or served. */
  const lastFinish = new Map<string, number>()
  let virtualTime = 0

  /** Virtual finish time of new work of an account. */
  function computeFinish ({ account, tokens, weight }: { account: string, tokens: number, weight: number }): number {
    return Math.max(virtualTime, lastFinish.get(account) ?? 0) + tokens / weight
  }

  /** Index of the first item that finishes after a virtual time. */
  function findInsertIndex (finish: number): number {
    let low = 0
    let high = items.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (items[middle]!.finish <= finish) low = middle + 1
      else high = middle
    }
    return low
  }

  return {
    push (value, work) {
      const finish = computeFinish(work)
      const item = { value, account: work.account, tokens: work.tokens, finish }
      lastFinish.set(work.account, finish)
      items.splice(findInsertIndex(finish), 0, item)
      return item
    },
    peek: () => items[0],
    shift () {
      const item = items.shift()
      if (item !== undefined) virtualTime = item.finish
      if (items.length === 0) lastFinish.clear()
      return item
    },
    remove (item) {
      const index = items.indexOf(item)
      if (index >= 0) items.splice(index, 1)
    },
    tokensAhead (work) {
      return items.slice(0, findInsertIndex(computeFinish(work))).reduce((sum, item) => sum + item.tokens, 0)
    },
    size: () => items.length,
    sizeOf: account => items.filter(item => item.account === account).length
  }
}
