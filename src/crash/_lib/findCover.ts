/**
 * Finds few sets that together contain given items, the one with the most items that are still missing first.
 */

/**
 * Candidates whose sets contain all items, at most `maxCount` of them; `undefined` if these do not suffice.
 * Of candidates with equally many missing items the first is taken.
 */
export function findCover<Candidate> (items: readonly string[], candidates: readonly Candidate[], setOf: (candidate: Candidate) => ReadonlySet<string>, maxCount: number): Candidate[] | undefined {
  const sets = candidates.map(candidate => ({ candidate, set: setOf(candidate) }))
  const cover: Candidate[] = []
  let missing = [...items]
  while (missing.length > 0) {
    if (cover.length + 1 > maxCount) return undefined
    let best: { candidate: Candidate, rest: string[] } | undefined
    for (const { candidate, set } of sets) {
      const rest = missing.filter(item => !set.has(item))
      if (rest.length < (best?.rest ?? missing).length) best = { candidate, rest }
    }
    if (best === undefined) return undefined
    cover.push(best.candidate)
    missing = best.rest
  }
  return cover
}
