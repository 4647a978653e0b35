/**
 * Which orders bring the engines to the configuration in force, given what each engine reports.
 * A pure function, so that it can be run again after each change of holder or failed order.
 */
import type { EngineStatus } from '../../engine/types.js'
import type { ModelScope, Placement } from '../../ticket/types.js'

/** What is planned from. */
export interface PlanInput {
  models: ReadonlyMap<string, ModelScope>
  /** Of the engines that answered. */
  statuses: ReadonlyMap<string, EngineStatus>
}

/** A desired state of one engine. */
export interface PlannedOrder extends Placement {
  model: string
  version: string
}

/** An order that would end the last pipeline of a model. */
export interface HeldOrder extends PlannedOrder {
  /** The model that would no longer be served. */
  lastPipelineOf: string
}

/** Orders to send and orders to hold back. */
export interface OrderPlan {
  orders: PlannedOrder[]
  held: HeldOrder[]
}

/**
 * @name planOrders
 * @summary Orders for the engines that differ from the configuration.
 * @description An order is held while it would take away the last chain of engines that covers a
 * configured model in one version. Orders of one plan are weighed together: none of them counts
 * as carried out until the engine reports it.
 * @param input - Models in force and the engines' reports.
 * @returns The plan.
 *
 * @example
 * const { orders, held } = planOrders({ models, statuses })
 */
export function planOrders ({ models, statuses }: PlanInput): OrderPlan {
  const plan: OrderPlan = { orders: [], held: [] }
  const serving = groupByModel(statuses)
  for (const order of listDifferences(models, statuses)) {
    const status = statuses.get(order.target)!
    const lost = findLastPipeline(status, serving, models)
    if (lost === undefined) {
      plan.orders.push(order)
      serving.get(status.model ?? '')?.delete(status)
    } else {
      plan.held.push({ ...order, lastPipelineOf: lost })
    }
  }
  return plan
}

function listDifferences (models: PlanInput['models'], statuses: PlanInput['statuses']): PlannedOrder[] {
  const wanted = [...models].flatMap(([model, { version, placement }]) => placement.map(part => ({ ...part, model, version })))
  return wanted.filter(order => {
    const status = statuses.get(order.target)
    return status !== undefined && !status.leaving && !matches(status, order)
  })
}

/** Whether an engine reports the state that an order asks for. */
export function matches (status: EngineStatus, order: PlannedOrder): boolean {
  return status.model === order.model &&
    status.fromLayer === order.fromLayer &&
    status.toLayer === order.toLayer &&
    status.version === order.version
}

/** Engines that take new work, by the model that they serve. */
function groupByModel (statuses: PlanInput['statuses']): Map<string, Set<EngineStatus>> {
  const groups = new Map<string, Set<EngineStatus>>()
  for (const status of statuses.values()) {
    if (status.model === null || status.leaving) continue
    const group = groups.get(status.model) ?? new Set()
    groups.set(status.model, group.add(status))
  }
  return groups
}

/** The model that is served now and would not be without this engine. */
function findLastPipeline (status: EngineStatus, serving: ReadonlyMap<string, ReadonlySet<EngineStatus>>, models: PlanInput['models']): string | undefined {
  const model = status.model ?? ''
  const layers = models.get(model)?.layers
  const peers = [...serving.get(model) ?? []]
  if (layers === undefined || !peers.includes(status)) return undefined
  const rest = peers.filter(other => other !== status)
  return coversModel(peers, layers) && !coversModel(rest, layers) ? model : undefined
}

/** Whether engines of one version form a chain over all layers. */
function coversModel (engines: EngineStatus[], layers: number): boolean {
  const versions = new Set(engines.map(engine => engine.version))
  return [...versions].some(version => reachesEnd(engines.filter(engine => engine.version === version), layers))
}

function reachesEnd (engines: EngineStatus[], layers: number): boolean {
  const reached = new Set([0])
  const ordered = [...engines].sort((a, b) => a.fromLayer - b.fromLayer)
  for (const { fromLayer, toLayer } of ordered) if (reached.has(fromLayer)) reached.add(toLayer)
  return reached.has(layers)
}
