/**
 * Engines in memory that take orders, with or without checking fencing numbers.
 */
import type { EngineClient, EngineOrder, EngineStatus } from '../../src/engine/types.js'

/** A fleet with its record of what was accepted. */
export interface EngineFleet extends Pick<EngineClient, 'status' | 'order'> {
  statuses: Map<string, EngineStatus>
  accepted: Array<EngineOrder & { target: string }>
  /** Runs before an order takes effect, while it is under way. */
  beforeOrder: () => Promise<void>
}

/** Engines that hold nothing yet. */
export function createEngineFleet (targets: string[], options: { checksFencing: boolean }): EngineFleet {
  const blank = (target: string): EngineStatus =>
    ({ target, model: null, version: null, fromLayer: 0, toLayer: 0, fencing: 0, sequences: 0, leaving: false })
  const statuses = new Map(targets.map(target => [target, blank(target)]))
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
