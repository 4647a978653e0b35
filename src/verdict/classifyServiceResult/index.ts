/**
 * The one place where the outcome of a send to a plain service becomes a verdict. The table in
 * docs/VERDICTS.md lists the cases.
 */
import type { ServiceResult } from '../../service/types.js'
import { NEVER_SENT } from '../createRefusal/index.js'
import type { Verdict } from '../types.js'

/** Answers from this status on leave open whether the call took effect. */
const FIRST_SERVER_ERROR = 500

/**
 * @name classifyServiceResult
 * @summary The verdict of one send.
 * @param result - What the service adapter saw.
 * @param options - Statuses by which this service proves that it did not run a call.
 * @returns `notRun` only where no byte left or the service said so by a configured status.
 *
 * @example
 * classifyServiceResult({ kind: 'unreachable', cause: 'ECONNREFUSED' }, { notRunStatuses: [] }).kind // 'notRun'
 */
export function classifyServiceResult (result: ServiceResult, options: { notRunStatuses: readonly number[] }): Verdict {
  if (result.kind === 'unreachable') return NEVER_SENT
  if (result.kind === 'lost') return { kind: 'mayHaveRun' }
  if (options.notRunStatuses.includes(result.status)) return { kind: 'notRun', because: { proof: 'refusedByTarget', target: `status ${result.status}` } }
  return result.status >= FIRST_SERVER_ERROR ? { kind: 'mayHaveRun' } : { kind: 'ran' }
}
