/**
 * A batch of refusals of bounded size. When it is full, a refusal of the reason and account with the
 * most refusals is dropped, so that a flood of one kind does not displace the rare ones.
 */
import type { RefusalBatch, RefusalRecord } from '../types.js'

/** Maximum number of refusals in a batch. */
export const MAX_BATCH_REFUSALS = 1_000

/** Maximum length of the facts of one refusal as JSON; longer ones are truncated. */
const MAX_FACTS_CHARS = 400

/** Refusals of one reason and account. */
interface RefusalGroup {
  reason: string
  account: string
  kept: RefusalRecord[]
  /** Number of refusals that were dropped. */
  dropped: number
}

/** A batch that is still being filled. */
export interface OpenBatch {
  add: (record: RefusalRecord) => void
  isEmpty: () => boolean
  /** Number of refusals that were dropped so far. */
  dropped: () => number
  /** The batch as it is stored. */
  close: (host: string, closedMs: number) => RefusalBatch
}

/** Creates an empty batch; `random` chooses which refusal of a group is dropped. */
export function createBatch (options: { random: () => number }): OpenBatch {
  const groups = new Map<string, RefusalGroup>()
  let size = 0
  let dropped = 0

  function groupOf ({ reason, account = '' }: RefusalRecord): RefusalGroup {
    const key = `${reason} ${String(account)}`
    const found = groups.get(key)
    if (found !== undefined) return found
    const group = { reason, account: String(account), kept: [], dropped: 0 }
    groups.set(key, group)
    return group
  }

  /** Drops a random refusal of the given group if it has at least its fair share of the batch, else of the largest group. */
  function dropOne (group: RefusalGroup): void {
    const fairShare = MAX_BATCH_REFUSALS / groups.size
    const source = group.kept.length >= fairShare ? group : largestGroup()
    const last = source.kept.pop()!
    const index = Math.floor(options.random() * (source.kept.length + 1))
    if (index < source.kept.length) source.kept[index] = last
    source.dropped += 1
    dropped += 1
    size -= 1
  }

  function largestGroup (): RefusalGroup {
    return [...groups.values()].reduce((a, b) => b.kept.length > a.kept.length ? b : a)
  }

  return {
    add (record) {
      const group = groupOf(record)
      if (size >= MAX_BATCH_REFUSALS) dropOne(group)
      group.kept.push(truncateFacts(record))
      size += 1
    },
    isEmpty: () => size === 0,
    dropped: () => dropped,
    close: (host, closedMs) => ({
      host,
      closedMs,
      refusals: [...groups.values()].flatMap(({ kept }) => kept),
      dropped: [...groups.values()].flatMap(group => group.dropped === 0 ? [] : [{ reason: group.reason, account: group.account, count: group.dropped }])
    })
  }
}

/** Truncates long facts, so that a full batch stays below the maximum size of a value in the object API. */
function truncateFacts (record: RefusalRecord): RefusalRecord {
  const text = JSON.stringify(record.facts)
  if (text.length <= MAX_FACTS_CHARS) return record
  const { facts, ...rest } = record
  return { ...rest, facts: { revision: facts.revision ?? null, cutShort: text.slice(0, MAX_FACTS_CHARS / 2) } }
}
