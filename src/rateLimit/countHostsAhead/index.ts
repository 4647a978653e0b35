/**
 * Orders hosts for a target by a hash of both, so that they agree without messages on which of them
 * send to it. Hosts come and go rarely, while the rate that a target names may change with each
 * answer, so the position is computed apart from the share.
 */
import { hashText } from '../../path/hashLoadKey/index.js'

/** Hosts among which the rate of a target is divided. */
export interface HostsOptions {
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
 * @name countHostsAhead
 * @summary Counts the hosts that come before this one in the order for a target.
 * @param targetId - The target.
 * @param options - This host and the others.
 * @returns Number of hosts; 0 for the first one.
 *
 * @example
 * countHostsAhead('i-1', { ownIp: '10.1.0.40', otherIps })
 */
export function countHostsAhead (targetId: string, { ownIp, otherIps }: HostsOptions): number {
  const ownKey = orderKey(targetId, ownIp)
  return otherIps.filter(ip => {
    const key = orderKey(targetId, ip)
    return key < ownKey || (key === ownKey && ip < ownIp)
  }).length
}
