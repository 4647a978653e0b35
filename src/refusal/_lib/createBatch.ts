/**
 * A batch with room for so many refusals and no more. When it is full, the reason and account with
 * the most refusals gives way, so that a flood of one kind does not push out the rare ones.
 */
import type { RefusalBatch, RefusalRecord } from '../types.js'

/** Bounds of one stored value. */
export const MAX_BATCH_REFUSALS = 1_000
const MAX_FACTS_CHARS = 400

/** Refusals of one reason and account. */
interface Group {
  reason: string
  account: string
  kept: RefusalRecord[]
  dropped: number
}

/** A batch being filled. */
export interface OpenBatch {
  add: (record: RefusalRecord) => void
  isEmpty: () => boolean
  dropped: () => number
  close: (host: string, closedMs: number) => RefusalBatch
}

/** An empty batch; `random` chooses which refusal of a group gives way. */
export function createBatch (options: { random: () => number }): OpenBatch {
  const groups = new Map<string, Group>()
  let size = 0
  let dropped = 0

  function groupOf ({ reason, account = '' }: RefusalRecord): Group {
    const key = `${reason} ${String(account)}`
    const found = groups.get(key)
    if (found !== undefined) return found
    const group = { reason, account: String(account), kept: [], dropped: 0 }
    groups.set(key, group)
    return group
  }

  function makeRoom (group: Group): void {
    const fairShare = MAX_BATCH_REFUSALS / groups.size
    const giver = group.kept.length >= fairShare ? group : largest()
    const last = giver.kept.pop()!
    const index = Math.floor(options.random() * (giver.kept.length + 1))
    if (index < giver.kept.length) giver.kept[index] = last
    giver.dropped += 1
    dropped += 1
    size -= 1
  }

  function largest (): Group {
    return [...groups.values()].reduce((a, b) => b.kept.length > a.kept.length ? b : a)
  }

  return {
    add (record) {
      const group = groupOf(record)
      if (size >= MAX_BATCH_REFUSALS) makeRoom(group)
      group.kept.push(shorten(record))
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

/** Long facts are cut, so that a full batch stays under the largest value of the object API. */
function shorten (record: RefusalRecord): RefusalRecord {
  const text = JSON.stringify(record.facts)
  if (text.length <= MAX_FACTS_CHARS) return record
  const { facts, ...rest } = record
  return { ...rest, facts: { revision: facts.revision ?? null, cutShort: text.slice(0, MAX_FACTS_CHARS / 2) } }
}
