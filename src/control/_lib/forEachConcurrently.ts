/**
 * Asynchronous iteration with limited concurrency.
 */

/** Runs `action` on each item, at most `limit` at a time; rejects as soon as one of them does. */
export async function forEachConcurrently<T> (items: T[], action: (item: T) => Promise<void>, options: { limit: number }): Promise<void> {
  const queue = [...items]
  async function runWorker (): Promise<void> {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) await action(item)
  }
  await Promise.all(Array.from({ length: Math.min(options.limit, items.length) }, runWorker))
}
