/**
 * Reads the resource usage of a daemon from the metrics of its operator port.
 */
import type { StartedProcess } from '../startDeployment/index.js'

/** Usage counters of a daemon at one point in time. */
export interface UsageSample {
  atMs: number
  cpuS: number
  memoryBytes: number
  peerBytes: number
  platformBytes: number
  frames: number
  storeCalls: number
}

/** Mean usage per daemon; store calls are the sum over all daemons. */
export interface Usage {
  cpuShare: number
  memoryMb: number
  bytesPerS: number
  peerBytesPerS: number
  framesPerS: number
  storeCallsPerS: number
}

/** Bytes per megabyte. */
const MEGABYTE = 1_048_576

/** Reads the counters of a daemon. */
export async function readUsage (daemon: StartedProcess): Promise<UsageSample> {
  const response = await fetch(`${String(daemon.listening.operator)}/metrics`)
  const lines = (await response.text()).split('\n').filter(line => !line.startsWith('#'))
  const sumSeries = (name: string): number => lines
    .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .reduce((total, line) => total + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
  return {
    atMs: performance.now(),
    cpuS: sumSeries('process_cpu_seconds_total'),
    memoryBytes: sumSeries('process_resident_memory_bytes'),
    peerBytes: sumSeries('coltsfootlead_peer_bytes_total'),
    platformBytes: sumSeries('coltsfootlead_platform_bytes_total'),
    frames: sumSeries('coltsfootlead_peer_frames_total'),
    storeCalls: sumSeries('coltsfootlead_store_calls_total')
  }
}

/** Computes the mean usage between two samples of the same daemons. */
export function computeUsage (before: UsageSample[], after: UsageSample[]): Usage {
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
