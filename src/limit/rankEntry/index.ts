/**
 * The rank of this entry among all entries that may serve callers.
 */
import type { MemberTable } from '../../member/createMemberTable/index.js'
import { memberKey } from '../../member/types.js'
import type { EntryRank } from '../types.js'

/**
 * @name rankEntry
 * @summary Counts the entries that are not known to be dead and ranks this one among them by name.
 * @param parts - The member table.
 * @returns The rank; suspected and leaving entries count, since they may still serve.
 *
 * @example
 * const { entries, rank } = rankEntry({ table })
 */
export function rankEntry ({ table }: { table: Pick<MemberTable, 'self' | 'live'> }): EntryRank {
  const self = memberKey(table.self())
  const others = table.live().filter(member => member.role === 'entry').map(memberKey).filter(key => key !== self)
  return { entries: others.length + 1, rank: others.filter(key => key < self).length }
}
