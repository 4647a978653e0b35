/**
 * Reads a refusal from the operator port of another host, with the token of the operator who asked.
 */
import { request } from 'undici'
import { memberKey } from '../../member/types.js'
import { refusalRecordSchema, type RefusalRecord } from '../../refusal/types.js'
import { rejectOnAbort } from '../../runtime/rejectOnAbort/index.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { Daemon } from '../types.js'

/** Longest wait for the response of the other host, in milliseconds. */
const FETCH_TIMEOUT_MS = 1_000

/** Returns the refusal as the member that issued it has it in memory; `undefined` when the member is not live, does not respond or does not know it. */
export async function fetchRefusal (
  member: string,
  id: string,
  options: { daemon: Daemon, authorization: string }
): Promise<RefusalRecord | undefined> {
  const { daemon, authorization } = options
  const peer = daemon.table.live().find(candidate => memberKey(candidate) === member)
  if (peer === undefined) return undefined
  using deadline = withDeadline(FETCH_TIMEOUT_MS, { runtime: daemon.runtime })
  try {
    const response = await rejectOnAbort(request(`${peer.operatorUrl}/v1/explain/${encodeURIComponent(id)}?local=1`, {
      headers: { authorization }, reset: true, signal: deadline.signal
    }), deadline.signal)
    return refusalRecordSchema.safeParse(await response.body.json()).data
  } catch {
    return undefined
  }
}
