/**
 * Work on many items with a bound on how many are under way.
 */

/** Runs `work` on each item, at most `limit` at a time. */
export async function forEachBounded<A> (items: A[], work: (item: A) => Promise<void>, options: { limit: number }): Promise<void> {
  const waiting = [...items]
  async function drain (): Promise<void> {
    for (let item = waiting.shift(); item !== undefined; item = waiting.shift()) await work(item)
  }
  await Promise.all(Array.from({ length: Math.min(options.limit, items.length) }, drain))
}
