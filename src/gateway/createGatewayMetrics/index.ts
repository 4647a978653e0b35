/**
 * Prometheus metrics of a gateway.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the time histograms, in seconds. */
const TIME_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20]

/** Upper bounds of the histograms of delays within this process, in seconds. */
const DELAY_BUCKETS_S = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]

/** The metrics that the gateway's modules write to. */
export interface GatewayMetrics {
  registry: Registry
  calls: Counter<'kind' | 'outcome'>
  answersCut: Counter<'cause'>
  attempts: Counter<'result'>
  crashes: Counter<'progress'>
  invalidFields: Counter<'field'>
  promptVerdicts: Counter<'verdict'>
  promptParts: Gauge<'state'>
  isImpaired: Gauge
  relayedConnections: Counter<'result'>
  relaysServed: Counter<'result'>
  requestVerdicts: Counter<'verdict'>
  crashingRequests: Gauge<'state'>
  firstEventSeconds: Histogram
  waitSeconds: Histogram
  callerCloseSeconds: Histogram<'link'>
  loopDelaySeconds: Histogram
  relaysOpen: Gauge
  storeCalls: Counter<'operation'>
  orders: Counter<'operation' | 'result'>
  streams: Gauge
  waiting: Gauge
  serviceRoom: Gauge<'service' | 'figure'>
  targets: Gauge<'state'>
  placedRate: Gauge<'service' | 'domain'>
  engines: Gauge<'service' | 'domain' | 'state'>
  configurationVersion: Gauge
  retryBudgetLeft: Gauge<'service'>
  targetsAgeSeconds: Gauge
  isLeaseHolder: Gauge
  hosts: Gauge
  loadAgeSeconds: Gauge
  droppedLogLines: Counter
}

/**
 * @name createGatewayMetrics
 * @summary Creates the metrics in a new registry.
 * @returns The metrics.
 *
 * @example
 * const metrics = createGatewayMetrics()
 * metrics.calls.inc({ kind: 'safe', outcome: 'answered' })
 */
export function createGatewayMetrics (): GatewayMetrics {
  const registry = new Registry()
  const registers = [registry]
  return {
    registry,
    calls: new Counter({ name: 'coltsfootlead_gateway_calls_total', help: 'Calls by kind of route and outcome', labelNames: ['kind', 'outcome'], registers }),
    answersCut: new Counter({ name: 'coltsfootlead_gateway_answers_cut_total', help: 'Answers and connections that the gateway ended before the answer was complete', labelNames: ['cause'], registers }),
    attempts: new Counter({ name: 'coltsfootlead_gateway_attempts_total', help: 'Requests sent to targets by result', labelNames: ['result'], registers }),
    crashes: new Counter({ name: 'coltsfootlead_gateway_runs_crashed_total', help: 'Runs whose target ended, by whether an event of their answer had arrived', labelNames: ['progress'], registers }),
    promptVerdicts: new Counter({ name: 'coltsfootlead_gateway_prompt_verdicts_total', help: 'Parts of prompts that became suspected, known to crash engines, or sound again', labelNames: ['verdict'], registers }),
    isImpaired: new Gauge({ name: 'coltsfootlead_gateway_links_lost', help: '1 while this host does not reach some targets itself that its peers reach', registers }),
    relayedConnections: new Counter({ name: 'coltsfootlead_gateway_relayed_connections_total', help: 'Connections to targets that this host asked peers for', labelNames: ['result'], registers }),
    relaysServed: new Counter({ name: 'coltsfootlead_gateway_relays_served_total', help: 'Connections to targets that peers asked this host for', labelNames: ['result'], registers }),
    requestVerdicts: new Counter({ name: 'coltsfootlead_gateway_request_verdicts_total', help: 'Requests whose repeats became suspected, known to crash engines, or sound again', labelNames: ['verdict'], registers }),
    crashingRequests: new Gauge({ name: 'coltsfootlead_gateway_crashing_requests', help: 'Requests whose repeats are suspected, or known, to crash engines', labelNames: ['state'], registers }),
    promptParts: new Gauge({ name: 'coltsfootlead_gateway_prompt_parts', help: 'Parts of prompts that are suspected, or known, to crash engines', labelNames: ['state'], registers }),
    invalidFields: new Counter({ name: 'coltsfootlead_gateway_invalid_answer_fields_total', help: 'Fields in answers of targets that could not be read and were ignored', labelNames: ['field'], registers }),
    firstEventSeconds: new Histogram({ name: 'coltsfootlead_gateway_first_event_seconds', help: 'Time from arrival to the first event of a stream', buckets: TIME_BUCKETS_S, registers }),
    waitSeconds: new Histogram({ name: 'coltsfootlead_gateway_wait_seconds', help: 'Time in the queue', buckets: TIME_BUCKETS_S, registers }),
    callerCloseSeconds: new Histogram({ name: 'coltsfootlead_gateway_caller_close_seconds', help: 'Time from reading that a caller has left to closing the connection to its target', labelNames: ['link'], buckets: DELAY_BUCKETS_S, registers }),
    loopDelaySeconds: new Histogram({ name: 'coltsfootlead_gateway_loop_delay_seconds', help: 'How late a timer of this process ran', buckets: DELAY_BUCKETS_S, registers }),
    relaysOpen: new Gauge({ name: 'coltsfootlead_gateway_relays_open', help: 'Connections to targets that are open for peers', registers }),
    storeCalls: new Counter({ name: 'coltsfootlead_gateway_store_calls_total', help: 'Calls to the object API', labelNames: ['operation'], registers }),
    orders: new Counter({ name: 'coltsfootlead_gateway_orders_total', help: 'Orders to engines', labelNames: ['operation', 'result'], registers }),
    streams: new Gauge({ name: 'coltsfootlead_gateway_streams', help: 'Streams in progress', registers }),
    waiting: new Gauge({ name: 'coltsfootlead_gateway_waiting', help: 'Requests in the queue', registers }),
    serviceRoom: new Gauge({ name: 'coltsfootlead_gateway_service_room', help: 'Room and queues of a service at all hosts as this host knows them', labelNames: ['service', 'figure'], registers }),
    targets: new Gauge({ name: 'coltsfootlead_gateway_targets', help: 'Targets by state', labelNames: ['state'], registers }),
    placedRate: new Gauge({ name: 'coltsfootlead_gateway_placed_requests_per_second', help: 'Usual requests per second that the engines of a failure domain serve by the layers that they hold', labelNames: ['service', 'domain'], registers }),
    engines: new Gauge({ name: 'coltsfootlead_gateway_engines', help: 'Engines of a failure domain by what they hold', labelNames: ['service', 'domain', 'state'], registers }),
    configurationVersion: new Gauge({ name: 'coltsfootlead_gateway_configuration_version', help: 'Configuration in force', registers }),
    retryBudgetLeft: new Gauge({ name: 'coltsfootlead_gateway_retry_budget_left', help: 'Repeats left by service', labelNames: ['service'], registers }),
    targetsAgeSeconds: new Gauge({ name: 'coltsfootlead_gateway_targets_age_seconds', help: 'Time since the targets were last confirmed by the store or a reader', registers }),
    isLeaseHolder: new Gauge({ name: 'coltsfootlead_gateway_lease_holder', help: '1 on the host that places layers', registers }),
    hosts: new Gauge({ name: 'coltsfootlead_gateway_hosts', help: 'Hosts of the fleet, as this host counts them', registers }),
    loadAgeSeconds: new Gauge({ name: 'coltsfootlead_gateway_load_age_seconds', help: 'Mean age of what is known of the load of other hosts', registers }),
    droppedLogLines: new Counter({ name: 'coltsfootlead_gateway_log_lines_dropped_total', help: 'Log lines dropped by limit or because the reader was slow', registers })
  }
}
