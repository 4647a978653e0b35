/**
 * Merges preferred requests with others so that the preferred ones get no more than their share of
 * the places. It is meant for the load pattern in which a group of engines ends under many streams:
 * these need new places at once, and all room that becomes free would go to them while every new
 * request is refused.
 */

/** Places that were assigned lately. */
export interface AssignedPlaces {
  preferred: number
  others: number
}

/**
 * @name takeTurns
 * @summary Merges preferred and other requests into one order.
 * @param preferred - Preferred requests in their order.
 * @param others - The others in their order.
 * @param options - Share of the places that the preferred ones get while others wait, and places assigned lately.
 * @returns All requests, the next to be served first.
 *
 * @example
 * takeTurns(['b1', 'b2', 'b3'], ['n1'], { share: 2 / 3, assigned: { preferred: 0, others: 0 } }) // => ['b1', 'b2', 'n1', 'b3']
 */
export function takeTurns<Request> (preferred: readonly Request[], others: readonly Request[], { share, assigned }: { share: number, assigned: AssignedPlaces }): Request[] {
  const merged: Request[] = []
  const counts = { ...assigned }
  let [preferredIndex, otherIndex] = [0, 0]
  while (preferredIndex < preferred.length || otherIndex < others.length) {
    const isTurn = otherIndex >= others.length || isPreferredTurn(counts, share)
    if (preferredIndex < preferred.length && isTurn) {
      merged.push(preferred[preferredIndex++]!)
      counts.preferred++
    } else {
      merged.push(others[otherIndex++]!)
      counts.others++
    }
  }
  return merged
}

/** Whether the next place is within the share of the preferred requests. */
export function isPreferredTurn ({ preferred, others }: AssignedPlaces, share: number): boolean {
  return preferred < share * (preferred + others + 1)
}
