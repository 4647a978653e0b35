/**
 * Metrics of a daemon, for the operator port.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the time histograms, in milliseconds. */
const TIME_BUCKETS_MS = [5, 10, 20, 31, 50, 100, 200, 300, 530, 1_000, 2_000, 5_000]

/** Interval between samples of the event loop delay; long, because each sample wakes the process. */
const EVENT_LOOP_SAMPLE_MS = 1_000

/** Metrics of a daemon and their registry. */
export interface Metrics {
  registry: Registry
  requests: Counter<'outcome'>
  tokens: Counter
  firstTokenMs: Histogram
  storeCalls: Counter<'operation'>
  revisionInForce: Gauge
  peerBytes: Counter<'direction'>
  peerFrames: Counter<'direction'>
  platformBytes: Counter<'source'>
  boundTokensPerS: Gauge<'model'>
}

/**
 * @name createMetrics
 * @summary Creates the metrics in a new registry, so that several daemons can run in one process.
 * @returns The metrics.
 *
 * @example
 * const metrics = createMetrics()
 * metrics.requests.inc({ outcome: 'complete' })
 */
export function createMetrics (): Metrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS })
  const registers = [registry]
  return {
    registry,
    requests: new Counter({ name: 'coltsfootlead_requests_total', help: 'Requests by outcome', labelNames: ['outcome'], registers }),
    tokens: new Counter({ name: 'coltsfootlead_tokens_total', help: 'Tokens written to callers', registers }),
    firstTokenMs: new Histogram({ name: 'coltsfootlead_first_token_ms', help: 'Time to the first token in milliseconds', buckets: TIME_BUCKETS_MS, registers }),
    storeCalls: new Counter({ name: 'coltsfootlead_store_calls_total', help: 'Calls to the object API', labelNames: ['operation'], registers }),
    revisionInForce: new Gauge({ name: 'coltsfootlead_revision_in_force', help: 'Configuration revision in force', registers }),
    peerBytes: new Counter({ name: 'coltsfootlead_peer_bytes_total', help: 'Bytes of frames to and from peers', labelNames: ['direction'], registers }),
    peerFrames: new Counter({ name: 'coltsfootlead_peer_frames_total', help: 'Frames to and from peers', labelNames: ['direction'], registers }),
    platformBytes: new Counter({ name: 'coltsfootlead_platform_bytes_total', help: 'Bytes of bodies to and from the object API and the host list', labelNames: ['source'], registers }),
    boundTokensPerS: new Gauge({ name: 'coltsfootlead_bound_tokens_per_s', help: 'Throughput bound of a model', labelNames: ['model'], registers })
  }
}
