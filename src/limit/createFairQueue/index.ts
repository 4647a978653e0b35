/**
 * Weighted fair queue by self-clocked virtual time (S. J. Golestani, "A self-clocked fair
 * queueing scheme for broadband applications", 1994), with tokens as the unit of work.
 */

/** One waiting item. */
export interface QueuedItem<A> {
  value: A
  account: string
  tokens: number
  /** Virtual time at which its account's share has served it. */
  finish: number
}

/** A queue over accounts. */
export interface FairQueue<A> {
  push: (value: A, work: { account: string, tokens: number, weight: number }) => QueuedItem<A>
  /** The item that is due next, left in the queue. */
  peek: () => QueuedItem<A> | undefined
  shift: () => QueuedItem<A> | undefined
  remove: (item: QueuedItem<A>) => void
  /** Tokens that would be served before new work of an account. */
  tokensAhead: (work: { account: string, tokens: number, weight: number }) => number
  size: () => number
  /** Waiting items of one account. */
  sizeOf: (account: string) => number
}

/**
 * @name createFairQueue
 * @summary An empty weighted fair queue.
 * @returns The queue.
 *
 * @example
 * const queue = createFairQueue<string>()
 * queue.push('first', { account: 'studio', tokens: 64, weight: 1 })
 */
export function createFairQueue<A> (): FairQueue<A> {
  const items: Array<QueuedItem<A>> = []
  const lastFinish = new Map<string, number>()
  let virtualTime = 0

  function computeFinish ({ account, tokens, weight }: { account: string, tokens: number, weight: number }): number {
    return Math.max(virtualTime, lastFinish.get(account) ?? 0) + tokens / weight
  }

  /** Index of the first item that is due after a virtual time. */
  function findIndex (finish: number): number {
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
      items.splice(findIndex(finish), 0, item)
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
      return items.slice(0, findIndex(computeFinish(work))).reduce((sum, item) => sum + item.tokens, 0)
    },
    size: () => items.length,
    sizeOf: account => items.filter(item => item.account === account).length
  }
}
