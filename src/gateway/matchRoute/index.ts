/**
 * Matches requests to routes.
 */
import type { FleetConfiguration, Route } from '../../fleet/types.js'

/**
 * @name matchRoute
 * @summary Finds the route of a host with the longest prefix of the path.
 * @param configuration - Configuration in force.
 * @param host - Value of the request's Host header; a port is ignored.
 * @param path - Path of the request, as sent.
 * @returns The route, or `undefined` if none matches.
 *
 * @example
 * matchRoute(configuration, 'studio.example', '/briefs/7')
 */
export function matchRoute (configuration: FleetConfiguration, host: string, path: string): Route | undefined {
  const name = host.replace(/:\d+$/, '').toLowerCase()
  let best: Route | undefined
  for (const route of configuration.routes) {
    if (route.host.toLowerCase() !== name || !path.startsWith(route.pathPrefix)) continue
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best
}
