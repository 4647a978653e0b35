/**
 * Orders what is known of the store: by era, then by revision. A store that comes back from a copy
 * loses its latest changes and gives their revisions out again, so revisions alone do not tell
 * which of two lists is later. Each time its era rises by one.
 */

/** Up to which change of the store something is known. */
export interface StorePosition {
  /** How often the store has come back from a copy; `undefined` if it was not said, as by an earlier version of a host. */
  era?: number | undefined
  revision: number
}

/**
 * @name comparePositions
 * @summary Compares two positions; one without an era is taken to be of the other's era.
 * @param one - A position.
 * @param other - Another position.
 * @returns A negative number if `one` is earlier, a positive one if it is later, otherwise 0.
 *
 * @example
 * comparePositions({ era: 2, revision: 10 }, { era: 1, revision: 900 }) // positive
 */
export function comparePositions (one: StorePosition, other: StorePosition): number {
  return compareEras(one, other) || one.revision - other.revision
}

/** Compares the eras of two positions only. */
export function compareEras (one: StorePosition, other: StorePosition): number {
  return one.era === undefined || other.era === undefined ? 0 : one.era - other.era
}
