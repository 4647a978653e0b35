/**
 * Decides whether a host that shuts down should still begin a request. One that is cut at the end of
 * the grace period costs its caller all the time that it has waited, and an unsafe one may not be
 * repeated. Another host could have served it whole.
 */

/** What is known when a request is about to begin. */
export interface GraceOutlook {
  /** Time until the open calls are ended, in milliseconds; `undefined` unless the host shuts down. */
  graceLeftMs: number | undefined
  /** Mean time of such an answer, in milliseconds; `undefined` if that is not known. */
  expectedMs: number | undefined
  /** Whether a caller that is refused finds another host. */
  isOtherHostReady: boolean
}

/**
 * @name isTooLateToBegin
 * @summary Whether a request will probably be cut by the end of the grace period, and can be served elsewhere.
 * @param outlook - What is known of the request and the hosts.
 * @returns `true` if it should be refused as not run; a host without others that are ready begins all.
 *
 * @example
 * isTooLateToBegin({ graceLeftMs: 4_800, expectedMs: 6_000, isOtherHostReady: true }) // true
 */
export function isTooLateToBegin ({ graceLeftMs, expectedMs, isOtherHostReady }: GraceOutlook): boolean {
  return graceLeftMs !== undefined && expectedMs !== undefined && isOtherHostReady && expectedMs > graceLeftMs
}
