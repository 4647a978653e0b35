/**
 * Engines in memory that carry out orders of the control daemon, with or without checking their
 * fencing numbers.
 */
import type { EngineClient, EngineOrder, EngineStatus } from '../../src/engine/types.js'

/** The status of each engine, and the orders that the engines accepted. */
export interface EngineFleet extends Pick<EngineClient, 'status' | 'order'> {
  statuses: Map<string, EngineStatus>
  /** Accepted orders with the engine that each was sent to, in order. */
  accepted: Array<EngineOrder & { target: string }>
  /** Awaited after an order was sent and before it takes effect. */
  beforeOrder: () => Promise<void>
}

/** Creates engines that hold no layers. */
export function createEngineFleet (targets: string[], options: { checksFencing: boolean }): EngineFleet {
  const emptyStatus = (target: string): EngineStatus =>
    ({ target, model: null, version: null, fromLayer: 0, toLayer: 0, fencing: 0, sequences: 0, leaving: false })
  const statuses = new Map(targets.map(target => [target, emptyStatus(target)]))
  const fleet: EngineFleet = {
    statuses,
    accepted: [],
    beforeOrder: async () => {},
    status: async ({ target }) => ({ kind: 'status', status: { ...statuses.get(target)! } }),
    async order ({ target }, order) {
      await fleet.beforeOrder()
      const status = statuses.get(target)!
      if (options.checksFencing && order.fencing < status.fencing) return { kind: 'refused', cause: 'old fencing number' }
      statuses.set(target, { ...status, ...order })
      fleet.accepted.push({ target, ...order })
      return { kind: 'accepted' }
    }
  }
  return fleet
}
