/**
 * Suggestions for misspelt names.
 */

/** Largest edit distance of a name that is still suggested. */
const MAX_DISTANCE = 4

/**
 * @name findNearest
 * @summary The known name with the smallest edit distance.
 * @param name - The name as written.
 * @param known - The valid names.
 * @returns The nearest name, or `undefined` when none is near enough.
 *
 * @example
 * findNearest('hots', ['host', 'address']) // 'host'
 */
export function findNearest (name: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map(candidate => ({ candidate, distance: editDistance(name.toLowerCase(), candidate.toLowerCase()) }))
    .sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  return best !== undefined && best.distance <= MAX_DISTANCE ? best.candidate : undefined
}

/** Levenshtein distance, computed with one row of the matrix at a time. */
function editDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitution = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(substitution, row[j]! + 1, next[j - 1]! + 1))
    }
    row = next
  }
  return row[b.length]!
}
