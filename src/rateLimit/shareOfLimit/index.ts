/**
 * Divides the rate of requests that a target takes among the hosts that send to it. It is meant for
 * targets whose rate is small against the number of hosts: if each host had a share, each could
 * still send a first request at once. Only as many hosts as the target takes requests a second
 * send to it, and the others use other targets.
 */

/** Least rate that is divided, in requests a second; a target that names less is still asked now and then whether that has changed. */
const MIN_PER_S = 0.25

/** Place of a host among those that divide the rate. */
export interface ShareOptions {
  /** Hosts that come before it in the order for the target. */
  hostsAhead: number
  /** Number of hosts, itself included. */
  hostCount: number
}

/**
 * @name shareOfLimit
 * @summary Computes a host's share of the rate that a target takes.
 * @param limitPerS - Requests a second that the target takes from all hosts together.
 * @param options - The host's place among the hosts.
 * @returns Requests a second, 0 if the host sends it none.
 *
 * @example
 * shareOfLimit(12.8, { hostsAhead: 2, hostCount: 7 })
 */
export function shareOfLimit (limitPerS: number, { hostsAhead, hostCount }: ShareOptions): number {
  const rate = Math.max(MIN_PER_S, limitPerS)
  const senders = Math.max(1, Math.min(hostCount, Math.floor(rate)))
  return hostsAhead < senders ? rate / senders : 0
}
