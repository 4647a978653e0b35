/**
 * What a daemon has used so far, from the metrics of its operator port.
 */
import type { StartedProcess } from '../startDeployment/index.js'

/** Counters of one daemon at one moment. */
export interface UsageSample {
  atMs: number
  cpuS: number
  memoryBytes: number
  peerBytes: number
  platformBytes: number
  frames: number
  storeCalls: number
}

/** Mean use of one daemon; store calls are the sum over all daemons. */
export interface Usage {
  cpuShare: number
  memoryMb: number
  bytesPerS: number
  peerBytesPerS: number
  framesPerS: number
  storeCallsPerS: number
}

/** Bytes of a megabyte. */
const MEGABYTE = 1_048_576

/** Reads the counters of a daemon. */
export async function readUsage (daemon: StartedProcess): Promise<UsageSample> {
  const response = await fetch(`${String(daemon.listening.operator)}/metrics`)
  const lines = (await response.text()).split('\n').filter(line => !line.startsWith('#'))
  const sum = (name: string): number => lines
    .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .reduce((total, line) => total + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
  return {
    atMs: performance.now(),
    cpuS: sum('process_cpu_seconds_total'),
    memoryBytes: sum('process_resident_memory_bytes'),
    peerBytes: sum('coltsfootlead_peer_bytes_total'),
    platformBytes: sum('coltsfootlead_platform_bytes_total'),
    frames: sum('coltsfootlead_peer_frames_total'),
    storeCalls: sum('coltsfootlead_store_calls_total')
  }
}

/** Mean use between two readings of the same daemons. */
export function changesPerS (before: UsageSample[], after: UsageSample[]): Usage {
  const rates = (counter: keyof UsageSample): number[] => after.map((sample, index) => {
    const earlier = before[index]!
    return (sample[counter] - earlier[counter]) / ((sample.atMs - earlier.atMs) / 1_000)
  })
  const total = (values: number[]): number => values.reduce((sum, value) => sum + value, 0)
  const mean = (values: number[]): number => total(values) / values.length
  const peerBytesPerS = mean(rates('peerBytes'))
  return {
    cpuShare: mean(rates('cpuS')),
    memoryMb: mean(after.map(sample => sample.memoryBytes)) / MEGABYTE,
    bytesPerS: peerBytesPerS + mean(rates('platformBytes')),
    peerBytesPerS,
    framesPerS: mean(rates('frames')),
    storeCallsPerS: total(rates('storeCalls'))
  }
}
