/**
 * Asks a service whether a call with a given idempotency key ran.
 */
import type { StatusResult } from '../../booking/types.js'
import type { ServiceScope } from '../../ticket/types.js'
import type { EntryContext } from '../types.js'
import { sendToService } from './sendToService.js'

/**
 * Reads the service's `statusPath` for a key. A 2xx response means that the call ran, 404 that the
 * service does not know the key; any other result is inconclusive.
 */
export async function readServiceStatus (
  service: ServiceScope & { statusPath: string },
  key: string,
  context: EntryContext
): Promise<StatusResult> {
  const path = service.statusPath.replace('{key}', encodeURIComponent(key))
  const call = { method: 'GET', path, headers: { accept: 'application/json' }, body: Buffer.alloc(0) }
  const result = await sendToService(service, call, context, { isRepeatable: true })
  if (result.kind !== 'answered') return { kind: 'inconclusive' }
  if (result.status === 404) return { kind: 'unknownKey' }
  return result.status >= 200 && result.status < 300 ? { ...result, kind: 'ran' } : { kind: 'inconclusive' }
}
