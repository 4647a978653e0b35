/**
 * A question of one host to the operator port of another, with the operator's own token.
 */
import { request } from 'undici'
import { memberKey } from '../../member/types.js'
import { refusalRecordSchema, type RefusalRecord } from '../../refusal/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Daemon } from '../types.js'

/** Longest wait for another host's answer. */
const ASK_MS = 1_000

/** The refusal as the member that gave it remembers it; nothing when it cannot be asked. */
export async function askMember (
  member: string,
  id: string,
  options: { daemon: Daemon, authorization: string }
): Promise<RefusalRecord | undefined> {
  const { daemon, authorization } = options
  const live = daemon.table.live().find(candidate => memberKey(candidate) === member)
  if (live === undefined) return undefined
  using deadline = withDeadline(ASK_MS, { runtime: daemon.runtime })
  try {
    const answer = await request(`${live.operatorUrl}/v1/explain/${encodeURIComponent(id)}?local=1`, {
      headers: { authorization }, reset: true, signal: deadline.signal
    })
    return refusalRecordSchema.safeParse(await answer.body.json()).data
  } catch {
    return undefined
  }
}
