/**
 * Divides the rate of requests that a target takes among the hosts that send to it. It is meant for
 * targets whose rate is small against the number of hosts: if each host had a share, each could
 * still send a first request at once. Only as many hosts as the target takes requests a second
 * send to it, which they agree on without messages, and the others use other targets.
 */
import { hashText } from '../../path/hashLoadKey/index.js'

/** Least rate that is divided, in requests a second; a target that names less is still asked now and then whether that has changed. */
const MIN_PER_S = 0.25

/** A target and the hosts among which its rate is divided. */
export interface ShareOptions {
  targetId: string
  ownIp: string
  /** Addresses of the other hosts. */
  otherIps: readonly string[]
}

/** Position of a host in the order for a target; neighboring addresses are spread. */
function orderKey (targetId: string, ip: string): number {
  const hash = hashText(`${targetId} ${ip}`)
  const mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b) >>> 0
  return (mixed ^ (mixed >>> 13)) >>> 0
}

/**
 * @name shareOfLimit
 * @summary Computes a host's share of the rate that a target takes.
 * @param limitPerS - Requests a second that the target takes from all hosts together.
 * @param options - The target and the hosts.
 * @returns Requests a second, 0 if the host sends it none.
 *
 * @example
 * shareOfLimit(12.8, { targetId: 'i-1', ownIp: '10.1.0.40', otherIps })
 */
export function shareOfLimit (limitPerS: number, { targetId, ownIp, otherIps }: ShareOptions): number {
  const rate = Math.max(MIN_PER_S, limitPerS)
  const senders = Math.max(1, Math.min(1 + otherIps.length, Math.floor(rate)))
  const ownKey = orderKey(targetId, ownIp)
  const ahead = otherIps.filter(ip => {
    const key = orderKey(targetId, ip)
    return key < ownKey || (key === ownKey && ip < ownIp)
  }).length
  return ahead < senders ? rate / senders : 0
}
