/**
 * Chooses the sighting to drop when there are too many: the oldest one of a trait with the fewest, so
 * that many different requests cannot push out a trait that crashes engines.
 */

/** Names of the trait with the least useful sighting and of that sighting; there must be one. */
export function findLeastUseful (byTrait: ReadonlyMap<string, ReadonlyMap<string, { atMs: number }>>): [trait: string, name: string] {
  const fewest = Math.min(...[...byTrait.values()].map(({ size }) => size))
  const candidates = [...byTrait].filter(([, { size }]) => size === fewest).flatMap(([trait, kept]) => [...kept].map(([name, { atMs }]) => ({ trait, name, atMs })))
  const { trait, name } = candidates.reduce((oldest, candidate) => candidate.atMs < oldest.atMs ? candidate : oldest)
  return [trait, name]
}
