/**
 * Chooses the sighting to drop when there are too many: an old one of a part with few, so that many
 * different parts cannot push out one that crashes engines.
 */
import { partKey } from './createAnsweredParts.js'

/** Key of the least useful sighting; `undefined` if there is none. */
export function findLeastUseful (sightings: ReadonlyMap<string, { service: string, part: string, atMs: number }>): string | undefined {
  const counts = new Map<string, number>()
  for (const { service, part } of sightings.values()) counts.set(partKey(service, part), (counts.get(partKey(service, part)) ?? 0) + 1)
  const countOf = ({ service, part }: { service: string, part: string }): number => counts.get(partKey(service, part))!
  return [...sightings].sort(([, a], [, b]) => countOf(a) - countOf(b) || a.atMs - b.atMs)[0]?.[0]
}
