/**
 * One call over the targets of a service: another target is tried only while the verdict, or the
 * call's own rule, permits it.
 */
import type { ServiceCall, ServiceResult } from '../../service/types.js'
import type { TargetDirectory } from '../../target/types.js'
import type { ServiceScope } from '../../ticket/types.js'
import { classifyServiceResult } from '../../verdict/classifyServiceResult/index.js'
import type { EntryContext } from '../types.js'

/** How one call is sent. */
export interface ServiceSendOptions {
  isRepeatable: boolean
  signal?: AbortSignal
  mayStart?: () => boolean
}

/** Sends a call to a service. */
export async function sendToService (
  service: ServiceScope,
  outgoing: ServiceCall,
  { daemon, services }: Pick<EntryContext, 'services'> & { daemon: { directory: TargetDirectory } },
  options: ServiceSendOptions
): Promise<ServiceResult> {
  const { isRepeatable, signal, mayStart = () => true } = options
  let result: ServiceResult = { kind: 'unreachable', cause: 'no usable target' }
  for (const target of orderTargets(service, daemon.directory)) {
    const address = daemon.directory.address(target)
    if (address === undefined) continue
    if (!mayStart() || signal?.aborted) return result
    result = await services.send(address, outgoing, { timeoutMs: service.timeoutMs, mayStart, ...(signal ? { signal } : {}) })
    if (signal?.aborted) return result
    if (result.kind === 'answered') daemon.directory.markReachable(target)
    else daemon.directory.markSuspected(target)
    const verdict = classifyServiceResult(result, service)
    if (result.kind === 'answered' && verdict.kind !== 'notRun') return result
    if (verdict.kind !== 'notRun' && !isRepeatable) return result
  }
  return result
}

/** Usable targets first; suspected ones after them, as a suspicion may be wrong. Leaving ones never. */
function orderTargets ({ targets }: ServiceScope, directory: TargetDirectory): string[] {
  const inCondition = (condition: string): string[] => targets.filter(target => directory.condition(target) === condition)
  return [...inCondition('usable'), ...inCondition('suspected')]
}
