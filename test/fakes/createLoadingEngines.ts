/**
 * Engines in memory that load the layers that they are ordered to hold in the time that the model
 * names, and a fleet state that lists them.
 */
import { createFleetState, type FleetState } from '../../src/fleet/createFleetState/index.js'
import type { EngineModel, LayerRange, Target } from '../../src/fleet/types.js'
import type { EngineControl, PlannedLoad } from '../../src/placement/types.js'
import type { Runtime } from '../../src/runtime/types.js'

interface EngineState {
  layers: LayerRange | undefined
  orderCount: number
  isBusy: boolean
}

/** The engines, the orders that they accepted, and the fleet state that lists them. */
export interface LoadingEngines {
  fleet: FleetState
  control: EngineControl
  accepted: PlannedLoad[]
  /** Engines that neither answer nor carry anything out; they stay listed until they are removed. */
  darkIds: Set<string>
  /** Replaces the listed engines. */
  list: (targets: Target[]) => void
}

/** Creates the engines of one service in the states that the targets show. */
export function createLoadingEngines (targets: readonly Target[], { model, runtime }: { model: EngineModel, runtime: Runtime }): LoadingEngines {
  const fleet = createFleetState({ runtime })
  const states = new Map<string, EngineState>(targets.map(({ id, layers }) => [id, { layers, orderCount: 0, isBusy: false }]))
  const accepted: PlannedLoad[] = []
  const darkIds = new Set<string>()
  let revision = 0
  fleet.applyConfiguration({ version: 1, routes: [], services: [{ name: targets[0]!.service, model }], accounts: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const list = (listed: Target[]): void => {
    for (const { id, layers } of listed) if (!states.has(id)) states.set(id, { layers, orderCount: 0, isBusy: false })
    fleet.applySnapshot({ revision: ++revision, targets: listed })
  }
  list([...targets])
  return {
    fleet,
    accepted,
    darkIds,
    list,
    control: {
      async report ({ id, bornMs }) {
        return darkIds.has(id) ? undefined : { bornMs, ...states.get(id)! }
      },
      async place (target, range) {
        const state = states.get(target.id)!
        accepted.push({ target, range })
        Object.assign(state, { layers: undefined, isBusy: true, orderCount: state.orderCount + 1 })
        runtime.setTimer(model.loadMs * (range.to - range.from) / model.layerCount, () => Object.assign(state, { layers: range, isBusy: false }))
        return { kind: 'begun' }
      },
      repath: async () => ({ kind: 'done' }),
      isReachable: async () => true
    }
  }
}
