/**
 * Lists the peers through which a host may reach targets while its own links are lost.
 */
import type { Peer } from '../../digest/createDigestExchange/types.js'

interface RelayOptions {
  ownIp: string
  /** Neighbors in the tree of hosts, which tell whether they reach targets. */
  neighbors: readonly Peer[]
  memberIps: readonly string[]
  /** Addresses from the settings, of hosts that may be gone. */
  seedIps: readonly string[]
  /** Port of this host's internal address, which is the same on all hosts as far as is known. */
  internalPort: number
  random: () => number
}

/**
 * Internal addresses of peers, each group from a random one on so that the load is spread: first
 * neighbors that say that they reach targets, then hosts of which that is not known, then the
 * seeds, as a host that has just started or hears no digest knows no others. Neighbors that have
 * lost links come last: they may still reach the target in question.
 */
export function listRelays ({ ownIp, neighbors, memberIps, seedIps, internalPort, random }: RelayOptions): string[] {
  const neighborIps = new Set(neighbors.map(({ ip }) => ip))
  const listNeighbors = (isImpaired: boolean): string[] => neighbors.filter(({ digest }) => digest.isImpaired === isImpaired).map(({ ip, digest }) => `${ip}:${digest.statePort}`)
  const others = memberIps.filter(ip => ip !== ownIp && !neighborIps.has(ip))
  const unheardSeeds = seedIps.filter(ip => ip !== ownIp && !neighborIps.has(ip) && !others.includes(ip))
  const unheard = [...rotate(others, random), ...rotate(unheardSeeds, random)].map(ip => `${ip}:${internalPort}`)
  return [...rotate(listNeighbors(false), random), ...unheard, ...rotate(listNeighbors(true), random)]
}

function rotate (addresses: readonly string[], random: () => number): string[] {
  const start = Math.floor(random() * addresses.length)
  return [...addresses.slice(start), ...addresses.slice(0, start)]
}
