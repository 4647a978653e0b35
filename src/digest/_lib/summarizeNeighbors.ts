/**
 * What the latest digests of some neighbors say together of the hosts behind them.
 */
import type { ConnectedReader } from '../../fleet/isStoreReader/index.js'
import type { Digest } from '../types.js'

/** A neighbor with its latest digest and when that arrived, in monotonic milliseconds. */
export interface HeardNeighbor {
  digest: Pick<Digest, 'hostCount' | 'loadAgeMs' | 'reader'>
  lastHeardMs: number
}

/** Age up to which another host's connection to the store counts, in milliseconds. */
const READER_AGE_MS = 1_500

/** Number of hosts behind the neighbors, themselves included. */
export function countHostsBehind (neighbors: readonly HeardNeighbor[]): number {
  return neighbors.reduce((sum, { digest }) => sum + digest.hostCount, 0)
}

/** Mean age of what is known of the hosts behind the neighbors, in milliseconds; `ownHosts` are counted with an age of 0. */
export function meanAgeMs (neighbors: readonly HeardNeighbor[], { nowMs, ownHosts }: { nowMs: number, ownHosts: number }): number {
  const hostCount = ownHosts + countHostsBehind(neighbors)
  const sumMs = neighbors.reduce((sum, { digest, lastHeardMs }) => sum + (digest.loadAgeMs + nowMs - lastHeardMs) * digest.hostCount, 0)
  return hostCount === 0 ? 0 : sumMs / hostCount
}

/** Other hosts that were connected to the store lately: the first behind each neighbor. */
export function listReaders (neighbors: readonly HeardNeighbor[], { ownIp, nowMs }: { ownIp: string, nowMs: number }): ConnectedReader[] {
  return neighbors.flatMap(({ digest: { reader }, lastHeardMs }) => {
    if (reader === null || reader.ip === ownIp) return []
    const ageMs = Math.round(reader.ageMs + nowMs - lastHeardMs)
    return ageMs < READER_AGE_MS ? [{ ...reader, ageMs }] : []
  })
}
