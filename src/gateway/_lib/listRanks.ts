/**
 * Ranks that requests for a service can have.
 */
import type { FleetConfiguration } from '../../fleet/types.js'
import { combineRanks } from './combineRanks.js'

const ranksByConfiguration = new WeakMap<FleetConfiguration, Map<string, readonly number[]>>()

/** Lists the ranks of a service's requests, most urgent first. */
export function listRanks (configuration: FleetConfiguration | undefined, service: string): readonly number[] {
  if (configuration === undefined) return []
  const byService = ranksByConfiguration.get(configuration) ?? new Map<string, readonly number[]>()
  ranksByConfiguration.set(configuration, byService)
  const known = byService.get(service)
  if (known !== undefined) return known
  const routes = configuration.routes.filter(route => route.services.some(split => split.service === service))
  const accountRanks = [undefined, ...configuration.accounts.map(account => account.rank)]
  const ranks = [...new Set(routes.flatMap(route => accountRanks.map(rank => combineRanks(rank, route.rank))))].sort((a, b) => a - b)
  byService.set(service, ranks)
  return ranks
}
