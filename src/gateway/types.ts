/**
 * What the parts of a gateway share: one call, the formats of its edges, and the streams in
 * progress.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { DigestSocket } from '../digest/types.js'
import type { EventLog } from '../event/types.js'
import type { FleetState } from '../fleet/createFleetState/index.js'
import type { FleetFormat } from '../fleet/followFleet/index.js'
import type { Path, Route, Service, Target } from '../fleet/types.js'
import type { ObjectStore } from '../objectApi/types.js'
import type { Coverage } from '../path/createCoverageCheck/index.js'
import type { LoadTracker } from '../path/createLoadTracker/index.js'
import type { RequestSize } from '../path/choosePath/index.js'
import type { EngineControl } from '../placement/types.js'
import type { RetryBudget } from '../retry/createRetryBudget/index.js'
import type { Runtime } from '../runtime/types.js'
import type { Suspicions } from '../suspicion/createSuspicions/index.js'
import type { Dispatcher } from '../waiting/createDispatcher/index.js'
import type { GatewayMetrics } from './createGatewayMetrics/index.js'

/** What a caller says of its request. */
export interface CallFacts {
  requestId: string
  key: string | undefined
  /** How long the caller waits, in milliseconds from its arrival. */
  deadlineMs: number
  promptTokens: number
  maxOutputTokens: number
  /** The caller's estimate of the output. */
  hintedOutputTokens: number | undefined
  /** Last event that the caller has, when it goes on with a stream. */
  lastEventId: number | undefined
}

/** What the gateway adds to a request for a target. */
export interface ForwardFacts {
  requestId: string
  account: string | undefined
  /** Time left, in milliseconds. */
  leftMs: number
  targetId: string
  path: Path | undefined
  /** Event after which the target goes on. */
  lastEventId: number | undefined
}

/** What a target says beside its answer. */
export interface AnswerFacts {
  requestId: string | undefined
  /** The target states that it did not run the request. */
  isNotRun: boolean
  /** Whether the answer carries the target's signature. */
  isSigned: boolean
  /** Address of the stage at fault. */
  faultyAddress: string | undefined
}

/** Headers as callers and targets write them; the names are the platform's. */
export interface CallFormat {
  readFacts: (request: IncomingMessage) => CallFacts
  /** Raw headers, names and values in turn. */
  buildHeaders: (request: IncomingMessage, body: Buffer, facts: ForwardFacts) => string[]
  readAnswer: (headers: IncomingHttpHeaders) => AnswerFacts
  /** Raw headers of an answer to pass on. */
  buildAnswerHeaders: (rawHeaders: readonly string[]) => string[]
  /** Raw headers of an answer that the gateway makes itself. */
  buildRefusalHeaders: (facts: { requestId: string, retryAfterMs: number | undefined }) => string[]
}

/** One call in progress. */
export interface Call {
  request: IncomingMessage
  response: ServerResponse
  body: Buffer
  facts: CallFacts
  route: Route
  service: Service
  account: string | undefined
  rank: number
  startedMs: number
  /** Monotonic time by which the caller must have a final answer. */
  endMs: number
  /** Aborts when the caller has gone, or with a `DeadlineError` at `endMs`. */
  signal: AbortSignal
}

/** A place for a request: a path of engines, or one target of a plain service. */
export interface Place extends Disposable {
  target: Target
  path: Path | undefined
}

/** A stream whose engine is at work. */
export interface ActiveStream {
  requestId: string
  service: Service
  size: RequestSize
  path: Path
  /** Monotonic time of the last event, or of the start. */
  progressedMs: number
  hasStarted: boolean
  /** Mean pause between its events, in milliseconds. */
  meanPauseMs: number
  isBeingMoved: boolean
  /** Counts the stream on another path. */
  moveTo: (path: Path) => void
  /** Ends the exchange with its engine, so that the stream goes on elsewhere. */
  abandon: (cause: string) => void
}

/** What serving a call works with. */
export interface GatewayParts {
  fleet: FleetState
  loadTracker: LoadTracker
  suspicions: Suspicions
  budget: RetryBudget
  checkCoverage: (service: Service) => Coverage
  dispatcherOf: (service: string) => Dispatcher<Place>
  streams: Set<ActiveStream>
  control: EngineControl
  format: CallFormat
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
  /** Mean age of what is known of the other hosts' load, in milliseconds. */
  loadAgeMs: () => number
  /** Services that have a queue, with the number of requests in it. */
  queueLengths: () => Map<string, number>
  /** Whether the process is shutting down, when answers ask for their connection to be closed. */
  isDraining: () => boolean
  /** Age of what is known of targets, in milliseconds. */
  targetsAgeMs: () => number
}

/** What a gateway is told at its start. */
export interface GatewaySettings {
  host: string
  ip: string
  failureDomain: string
  callerAddress: { address: string, port: number }
  readinessAddress: { address: string, port: number }
  /** Where peers read this host's state. */
  internalAddress: { address: string, port: number }
  metricsAddress: { address: string, port: number }
  /** Addresses of hosts to ask first. */
  seedIps: string[]
  retryRatio: number
  retryExtra: number
  retryWindowMs: number
  /** Time from the request to stop until the process is killed. */
  graceMs: number
  /** Time after the request to stop in which the balancer may still send new connections. */
  rotationMs: number
}

/** Edges of a gateway. */
export interface GatewayPorts {
  store: ObjectStore
  control: EngineControl
  socket: DigestSocket
  format: CallFormat
  fleetFormat: FleetFormat
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
}
