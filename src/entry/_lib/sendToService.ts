/**
 * Sends a call to the targets of a service in turn. After a failure the next target is tried only if
 * the call certainly did not run, or if it may be repeated.
 */
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { ServiceScope } from '../../ticket/types.js'
import { classifyServiceResult } from '../../verdict/classifyServiceResult/index.js'
import type { EntryContext } from '../types.js'

/** Options of sending one call to a service. */
export interface ServiceSendOptions {
  /** Whether the call may be sent again although it may have run. */
  isRepeatable: boolean
  /** Cancels the call. A cancelled call makes no target suspected. */
  signal?: AbortSignal
  /** Checked before each target, and again once connected; `false` ends the call without another send. */
  mayStart?: () => boolean
}

/** Sends a call to a service and returns the result of the last target that was tried. */
export async function sendToService (
  service: ServiceScope,
  call: ServiceCall,
  { daemon, services }: Pick<EntryContext, 'services'> & { daemon: { directory: TargetDirectory } },
  options: ServiceSendOptions
): Promise<ServiceResult> {
  const { isRepeatable, signal, mayStart = () => true } = options
  let result: ServiceResult = { kind: 'unreachable', cause: 'no usable target' }
  for (const target of orderTargets(service, daemon.directory)) {
    const address = daemon.directory.address(target)
    if (address === undefined) continue
    if (!mayStart() || signal?.aborted) return result
    result = await services.send(address, call, { timeoutMs: service.timeoutMs, mayStart, ...(signal ? { signal } : {}) })
    if (signal?.aborted) return result
    if (result.kind === 'answered') daemon.directory.markReachable(target)
    else daemon.directory.markSuspected(target)
    const verdict = classifyServiceResult(result, service)
    if (result.kind === 'answered' && verdict.kind !== 'notRun') return result
    if (verdict.kind !== 'notRun' && !isRepeatable) return result
  }
  return result
}

/** Usable targets, then suspected ones, since a suspicion may be wrong. Leaving targets are left out. */
function orderTargets ({ targets }: ServiceScope, directory: TargetDirectory): string[] {
  const withCondition = (condition: string): string[] => targets.filter(target => directory.condition(target) === condition)
  return [...withCondition('usable'), ...withCondition('suspected')]
}
