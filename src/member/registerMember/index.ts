/**
 * The stored member object, which a daemon writes at each start so that new daemons find it.
 */
import { z } from 'zod'
import type { ObjectStore } from '../../objectApi/types.js'
import { MEMBER_PREFIX, memberKey, type Member } from '../types.js'

const memberObjectSchema = z.strictObject({
  host: z.string(),
  role: z.enum(['entry', 'control']),
  address: z.string(),
  operatorUrl: z.string(),
  failureDomain: z.string(),
  incarnation: z.int().min(0)
})

/**
 * @name registerMember
 * @summary Writes this daemon's member object.
 * @param self - This daemon.
 * @param store - The object API.
 * @returns The incarnation written, higher than any stored one; `undefined` if the store was unavailable or did not confirm the write.
 *
 * @example
 * const incarnation = await registerMember(self, store)
 */
export async function registerMember (self: Member, store: ObjectStore): Promise<number | undefined> {
  const key = MEMBER_PREFIX + memberKey(self)
  const read = await store.read(key)
  if (read.kind === 'unavailable') return undefined
  const before = read.kind === 'found' ? memberObjectSchema.safeParse(read.object.value).data : undefined
  const incarnation = Math.max(self.incarnation, (before?.incarnation ?? 0) + 1)
  const { host, role, address, operatorUrl, failureDomain } = self
  const value = { host, role, address, operatorUrl, failureDomain, incarnation }
  const condition = read.kind === 'found' ? { ifVersion: read.object.version } : { ifAbsent: true as const }
  const written = await store.write(key, value, condition)
  return written.kind === 'written' ? incarnation : undefined
}

/**
 * @name listMembers
 * @summary Lists the members registered in the store.
 * @param store - The object API.
 * @returns The members, alive and with heartbeat 0; objects that are not valid are left out. `undefined` if the store was unavailable.
 *
 * @example
 * table.merge(await listMembers(store) ?? [])
 */
export async function listMembers (store: ObjectStore): Promise<Member[] | undefined> {
  const listed = await store.list(MEMBER_PREFIX)
  if (listed.kind === 'unavailable') return undefined
  return listed.objects.flatMap(object => {
    const checked = memberObjectSchema.safeParse(object.value)
    if (!checked.success) return []
    return [{ ...checked.data, heartbeat: 0, status: 'alive' as const, revisionInForce: 0 }]
  })
}
