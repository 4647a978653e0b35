/**
 * Logs and counts the runs whose target ended, with the parts of the prompt and how far the run
 * had come, so that a common cause of several crashes can be found.
 */
import type { Call, GatewayContext, TargetRun } from '../types.js'

/** Reports a run whose target ended. */
export function reportCrash ({ facts, route, service }: Call, { target, sentMs, firstEventMs }: TargetRun, { log, metrics, runtime }: Pick<GatewayContext, 'log' | 'metrics' | 'runtime'>): void {
  const nowMs = runtime.monotonicMs()
  log.emit('targetCrashed', {
    request: facts.requestId,
    route: route.name,
    service: service.name,
    target: target.id,
    promptParts: facts.promptParts,
    promptTokens: facts.promptTokens,
    sentAgeMs: Math.round(nowMs - sentMs),
    ...(firstEventMs === undefined ? {} : { firstEventAgeMs: Math.round(nowMs - firstEventMs) })
  })
  metrics.crashes.inc({ progress: firstEventMs === undefined ? 'notBegun' : 'begun' })
}
