/**
 * Computes the orders that bring the engines to the configuration in force from what each engine
 * reports. It is a pure function, so that it can run again after each change of the lease holder or
 * failed order.
 */
import type { EngineStatus } from '../../engine/types.js'
import type { ModelScope, Placement } from '../../ticket/types.js'

/** Input of the planning. */
export interface PlanInput {
  models: ReadonlyMap<string, ModelScope>
  /** Status of each engine that responded, by target. */
  statuses: ReadonlyMap<string, EngineStatus>
}

/** The desired state of one engine. */
export interface PlannedOrder extends Placement {
  model: string
  version: string
}

/** An order that is held back because it would end the last pipeline of a model. */
export interface HeldOrder extends PlannedOrder {
  /** The model that would no longer be served. */
  lastPipelineOf: string
}

/** Orders to send now and orders to hold back. */
export interface OrderPlan {
  orders: PlannedOrder[]
  held: HeldOrder[]
}

/**
 * @name planOrders
 * @summary Plans an order for each engine whose status differs from the configuration.
 * @description An order is held back while it would remove the last chain of engines that covers
 * all layers of a configured model in one version. An engine that gets an order no longer counts as
 * serving its old state for the rest of the plan, and does not count as serving its new state until
 * it reports it.
 * @param input - Models in force and engine statuses.
 * @returns The plan.
 *
 * @example
 * const { orders, held } = planOrders({ models, statuses })
 */
export function planOrders ({ models, statuses }: PlanInput): OrderPlan {
  const plan: OrderPlan = { orders: [], held: [] }
  const servingEngines = groupByModel(statuses)
  for (const order of listNeededOrders(models, statuses)) {
    const status = statuses.get(order.target)!
    const interruptedModel = findInterruptedModel(status, servingEngines, models)
    if (interruptedModel === undefined) {
      plan.orders.push(order)
      servingEngines.get(status.model ?? '')?.delete(status)
    } else {
      plan.held.push({ ...order, lastPipelineOf: interruptedModel })
    }
  }
  return plan
}

/** Orders for the engines that report another state than the configured one and are not leaving. */
function listNeededOrders (models: PlanInput['models'], statuses: PlanInput['statuses']): PlannedOrder[] {
  const configured = [...models].flatMap(([model, { version, placement }]) => placement.map(part => ({ ...part, model, version })))
  return configured.filter(order => {
    const status = statuses.get(order.target)
    return status !== undefined && !status.leaving && !matchesOrder(status, order)
  })
}

/** Whether an engine reports the state that an order requests. */
export function matchesOrder (status: EngineStatus, order: PlannedOrder): boolean {
  return status.model === order.model &&
    status.fromLayer === order.fromLayer &&
    status.toLayer === order.toLayer &&
    status.version === order.version
}

/** Engines that accept new work, grouped by the model that they serve. */
function groupByModel (statuses: PlanInput['statuses']): Map<string, Set<EngineStatus>> {
  const groups = new Map<string, Set<EngineStatus>>()
  for (const status of statuses.values()) {
    if (status.model === null || status.leaving) continue
    const group = groups.get(status.model) ?? new Set()
    groups.set(status.model, group.add(status))
  }
  return groups
}

/** The configured model that is served now and would not be without this engine, if there is one. */
function findInterruptedModel (status: EngineStatus, servingEngines: ReadonlyMap<string, ReadonlySet<EngineStatus>>, models: PlanInput['models']): string | undefined {
  const model = status.model ?? ''
  const layers = models.get(model)?.layers
  const engines = [...servingEngines.get(model) ?? []]
  if (layers === undefined || !engines.includes(status)) return undefined
  const remaining = engines.filter(other => other !== status)
  return isServed(engines, layers) && !isServed(remaining, layers) ? model : undefined
}

/** Whether engines of one version form a chain over all layers. */
function isServed (engines: EngineStatus[], layers: number): boolean {
  const versions = new Set(engines.map(engine => engine.version))
  return [...versions].some(version => coversAllLayers(engines.filter(engine => engine.version === version), layers))
}

/** Whether the layer ranges, each starting where another ends, lead from layer 0 to the last one. */
function coversAllLayers (engines: EngineStatus[], layers: number): boolean {
  const reachedLayers = new Set([0])
  const ordered = [...engines].sort((a, b) => a.fromLayer - b.fromLayer)
  for (const { fromLayer, toLayer } of ordered) if (reachedLayers.has(fromLayer)) reachedLayers.add(toLayer)
  return reachedLayers.has(layers)
}
