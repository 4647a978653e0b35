/**
 * Lists the peers through which a host may reach targets while its own links are lost.
 */
import type { Peer } from '../../digest/createDigestExchange/types.js'

interface RelayOptions {
  ownIp: string
  /** Neighbors in the tree of hosts, which tell whether they reach targets. */
  neighbors: readonly Peer[]
  memberIps: readonly string[]
  /** Port of this host's internal address, which is the same on all hosts as far as is known. */
  internalPort: number
  random: () => number
}

/** Internal addresses of peers: first neighbors that say that they reach targets, then hosts of which that is not known, each from a random one on so that the load is spread. */
export function listRelays ({ ownIp, neighbors, memberIps, internalPort, random }: RelayOptions): string[] {
  const neighborIps = new Set(neighbors.map(({ ip }) => ip))
  const reaching = neighbors.filter(({ digest }) => !digest.isImpaired).map(({ ip, digest }) => `${ip}:${digest.statePort}`)
  const others = memberIps.filter(ip => ip !== ownIp && !neighborIps.has(ip)).map(ip => `${ip}:${internalPort}`)
  return [...rotate(reaching, random), ...rotate(others, random)]
}

function rotate (addresses: readonly string[], random: () => number): string[] {
  const start = Math.floor(random() * addresses.length)
  return [...addresses.slice(start), ...addresses.slice(0, start)]
}
