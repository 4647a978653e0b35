/**
 * Spreads the watches of several hosts over time. Each change answers all of them at the same moment,
 * so they would begin anew, and go silent, together: nobody would notice until all waits are over.
 */
import { isBefore } from '../../digest/planNeighbors/index.js'

/**
 * @name shareOfWait
 * @summary The part of the usual wait that the first watch of a host after a change takes.
 * @param ip - The host.
 * @param otherIps - The other hosts that watch the same.
 * @returns A number above 0, at most 1: the waits of n hosts end at intervals of an n-th.
 *
 * @example
 * shareOfWait('10.1.0.2', ['10.1.0.1', '10.1.0.3'])
 */
export function shareOfWait (ip: string, otherIps: readonly string[]): number {
  const before = otherIps.filter(other => isBefore(other, ip)).length
  return (before + 1) / (otherIps.length + 1)
}
