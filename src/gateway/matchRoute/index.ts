/**
 * Finds the route of a request.
 */
import type { FleetConfiguration, Route } from '../../fleet/types.js'

/**
 * @name matchRoute
 * @summary The route of a host whose prefix is the longest that begins the path.
 * @param configuration - Configuration in force.
 * @param host - Host that the request names; a port is ignored.
 * @param path - Path of the request, as sent.
 * @returns The route, or `undefined`.
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
