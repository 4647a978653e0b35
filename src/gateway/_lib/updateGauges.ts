/**
 * Sets the gauges, which show the current state; called when the metrics are read.
 */
import { describeServices } from '../../placement/describeServices/index.js'
import type { QueueView } from '../../waiting/types.js'
import type { GatewayMetrics } from '../createGatewayMetrics/index.js'
import type { GatewayContext } from '../types.js'

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Sets all gauges to the current state. */
export function updateGauges ({ fleet, suspicions, streams, budget, metrics, queueLengths, targetsAgeMs, hostCount, loadAgeMs, crashEvidence, targetLimits, targetPauses, slowdowns, dispatcherOf }: GatewayContext): void {
  const targets = fleet.targets()
  const services = fleet.configuration()?.services ?? []
  metrics.streams.set(streams.size)
  metrics.waiting.set([...queueLengths().values()].reduce((sum, length) => sum + length, 0))
  metrics.configurationVersion.set(fleet.configuration()?.version ?? -1)
  metrics.targetsAgeSeconds.set(targetsAgeMs() / MS_PER_S)
  metrics.hosts.set(hostCount())
  for (const [kind, gauge] of [['part', metrics.promptParts], ['request', metrics.crashingRequests]] as const) {
    const { suspected, crashing } = crashEvidence.counts(kind)
    gauge.set({ state: 'suspected' }, suspected)
    gauge.set({ state: 'crashing' }, crashing)
  }
  metrics.loadAgeSeconds.set(loadAgeMs() / MS_PER_S)
  metrics.targets.set({ state: 'listed' }, targets.length)
  metrics.targets.set({ state: 'leaving' }, targets.filter(target => target.isLeaving).length)
  metrics.targets.set({ state: 'suspected' }, targets.filter(target => suspicions.isDown(target.id)).length)
  metrics.targets.set({ state: 'slow' }, targets.filter(target => slowdowns.slowdownOf(target.id) > 1).length)
  metrics.targets.set({ state: 'limited' }, targetLimits.count())
  metrics.targets.set({ state: 'paused' }, targetPauses.count())
  for (const [service, domains] of Object.entries(describeServices(fleet, { isUsable: id => !suspicions.isUnfit(id) }))) {
    for (const { failureDomain: domain, requestsPerSecond, engines } of domains) {
      metrics.placedRate.set({ service, domain }, requestsPerSecond)
      for (const [state, count] of Object.entries(engines)) metrics.engines.set({ service, domain, state }, count)
    }
  }
  for (const { name } of services) metrics.retryBudgetLeft.set({ service: name }, budget.left(name))
  for (const { name, model } of services) if (model !== undefined) setRoom(name, dispatcherOf(name).view(), metrics)
}

function setRoom (service: string, { room, ranks }: QueueView, { serviceRoom }: GatewayMetrics): void {
  serviceRoom.set({ service, figure: 'placesPerSecond' }, room.placesPerS)
  serviceRoom.set({ service, figure: 'waiting' }, ranks.reduce((sum, { waiting }) => sum + waiting, 0))
  serviceRoom.set({ service, figure: 'arrivalsPerSecond' }, ranks.reduce((sum, { arrivalsPerS }) => sum + arrivalsPerS, 0))
  serviceRoom.set({ service, figure: 'returnSlots' }, ranks.reduce((sum, { promised }) => sum + promised, 0))
}
