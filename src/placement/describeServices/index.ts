/**
 * Describes the placement of every service whose engines hold layers, as this host knows it.
 */
import type { FleetState } from '../../fleet/createFleetState/index.js'
import { describePlacement, type DomainPlacement } from '../describePlacement/index.js'

/**
 * @name describeServices
 * @summary Describes what the engines of each service hold and serve.
 * @param fleet - Configuration and targets.
 * @param options - Whether a target may be used.
 * @returns The failure domains of each service, by its name; services without a model are left out.
 *
 * @example
 * describeServices(fleet, { isUsable: id => !suspicions.isUnfit(id) })
 */
export function describeServices (fleet: FleetState, options: { isUsable: (targetId: string) => boolean }): Record<string, DomainPlacement[]> {
  const services = fleet.configuration()?.services ?? []
  return Object.fromEntries(services.flatMap(({ name, model }) => {
    if (model === undefined) return []
    const targets = fleet.targets().filter(target => target.service === name)
    return [[name, describePlacement(targets, { model, isUsable: options.isUsable })]]
  }))
}
