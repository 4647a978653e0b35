/**
 * Checks a reservation again when its request is about to be sent. Between the choice of a target and
 * that moment a connection opens, directly or through peers, and the process may have stood still.
 */
import type { GatewayContext, Reservation } from '../types.js'

/** Why a request is not sent to the target that was chosen for it: it asked for a pause, or an engine of the path leaves or is gone. */
export type Obstacle = 'paused' | 'left'

/** What keeps the request of a reservation from being sent now; `undefined` if nothing does. */
export function findObstacle ({ target, path }: Reservation, { fleet, targetPauses }: Pick<GatewayContext, 'fleet' | 'targetPauses'>): Obstacle | undefined {
  const targets = path?.map(stage => stage.target) ?? [target]
  if (!targets.every(fleet.isServing)) return 'left'
  return targetPauses.leftMs(target.id) > 0 ? 'paused' : undefined
}
