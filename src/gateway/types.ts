/**
 * Types shared by the modules of a gateway: one call, the format of headers, the streams in
 * progress, and the settings and adapters that a gateway starts with.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { Slowdowns } from '../cost/createSlowdowns/index.js'
import type { DurationModel } from '../cost/createDurationModel/index.js'
import type { CostModel } from '../cost/createCostModel/index.js'
import type { CrashEvidence } from '../crash/createCrashEvidence/index.js'
import type { DigestSocket } from '../digest/types.js'
import type { EventLog } from '../event/types.js'
import type { FleetState } from '../fleet/createFleetState/index.js'
import type { FleetFormat } from '../fleet/followFleet/index.js'
import type { Path, Route, Service, Target } from '../fleet/types.js'
import type { OpenCall } from '../http/createOpenCalls/index.js'
import type { LinkCheck, TargetLinks } from '../links/createTargetLinks/index.js'
import type { ConnectDirectly } from '../links/types.js'
import type { ObjectStore } from '../objectApi/types.js'
import type { Coverage } from '../path/createCoverageCheck/index.js'
import type { LoadTracker } from '../path/createLoadTracker/index.js'
import type { RequestSize } from '../path/choosePath/index.js'
import type { EngineControl } from '../placement/types.js'
import type { TargetPauses } from '../pause/createTargetPauses/index.js'
import type { RetryBudget } from '../retry/createRetryBudget/index.js'
import type { TargetLimits } from '../rateLimit/createTargetLimits/index.js'
import type { RoomCheck } from '../room/createRoomCheck/index.js'
import type { Runtime } from '../runtime/types.js'
import type { Suspicions } from '../suspicion/createSuspicions/index.js'
import type { Dispatcher } from '../waiting/createDispatcher/index.js'
import type { AnswerPacer } from './_lib/createAnswerPacer.js'
import type { InputSlicer } from './_lib/createInputSlicer.js'
import type { ByteBudget } from './_lib/createByteBudget.js'
import type { CheckTarget } from './_lib/createTargetCheck.js'
import type { GatewayMetrics } from './createGatewayMetrics/index.js'

/** Parameters that a caller sends with its call. */
export interface CallFacts {
  requestId: string
  key: string | undefined
  /** Time that the caller waits, in milliseconds from the arrival of its call. */
  deadlineMs: number
  promptTokens: number
  maxOutputTokens: number
  /** The caller's estimate of the output, in tokens. */
  hintedOutputTokens: number | undefined
  /** Id of the last event that the caller received, when it resumes a stream. */
  lastEventId: number | undefined
  /** Ids of the parts of its prompt, in order. The last one belongs to the call itself or to its session, the others are shared. */
  promptParts: string[]
}

/** Parameters that the gateway adds to the request that it forwards to a target. */
export interface ForwardParameters {
  requestId: string
  account: string | undefined
  /** Time left, in milliseconds. */
  leftMs: number
  targetId: string
  path: Path | undefined
  /** Id of the event after which the target resumes the stream. */
  lastEventId: number | undefined
}

/** What a target states in the headers of its answer. */
export interface AnswerMetadata {
  requestId: string | undefined
  /** The target states that it did not run the request. */
  isNotRun: boolean
  /** Whether the answer bears the target's signature. */
  isSigned: boolean
  /** Address of the pipeline stage that failed. */
  faultyAddress: string | undefined
  /** Requests a second that the target takes from all hosts together, while it says so; `malformed` if that could not be read. */
  limitPerS: number | 'malformed' | undefined
  /** Time in which the target wants no requests from this host, in milliseconds; `malformed` if that could not be read. */
  retryAfterMs: number | 'malformed' | undefined
  /** The target states that it leaves. */
  isLeaving: boolean
}

/** Reads and writes the headers of calls and answers, whose names the platform defines. */
export interface CallFormat {
  readFacts: (request: IncomingMessage) => CallFacts
  /** Raw headers of a forwarded request: names and values alternate. */
  buildHeaders: (request: IncomingMessage, body: Buffer, parameters: ForwardParameters) => string[]
  readAnswer: (headers: IncomingHttpHeaders) => AnswerMetadata
  /** Reads the head of an answer that passes through this host, up to its empty line; `undefined` if it is malformed. */
  readAnswerHead: (head: string) => { status: number, metadata: AnswerMetadata } | undefined
  /** Raw headers of a target's answer that is relayed to the caller. */
  buildAnswerHeaders: (rawHeaders: readonly string[]) => string[]
  /** Raw headers of an answer that the gateway generates itself. */
  buildRefusalHeaders: (parameters: { requestId: string, retryAfterMs: number | undefined }) => string[]
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
  /** Identifies the content of the request, which its repeats share. */
  fingerprint: string
  rank: number
  startedMs: number
  /** Monotonic time by which the caller must have a final answer. */
  deadlineAtMs: number
  /** Aborts when the caller disconnects, or with a `DeadlineError` at `deadlineAtMs`. */
  signal: AbortSignal
  progress: TryProgress
  /** Monotonic time at which this host read that the caller has closed its connection, in milliseconds. */
  callerLeftAtMs?: number
}

/** What tells where the body of an answer ends: its head alone, a length, chunks, or the end of its connection. */
export type Framing = 'none' | 'length' | 'chunks' | 'connection'

/** How an answer came. */
export interface AnswerOrigin {
  framing: Framing
  /** The peer through which it came; `undefined` on a direct connection. */
  relay: string | undefined
  /** What a check of the target showed after the end of the connection, if that had to tell. */
  check?: LinkCheck
}

/** One run of a call on a target, from the sending of the request. */
export interface TargetRun {
  target: Target
  /** Monotonic time of the request, in milliseconds. */
  sentMs: number
  /** Monotonic time of the first event that arrived, in milliseconds. */
  firstEventMs: number | undefined
  /** Number of events that this run brought; absent for a plain call. */
  eventCount?: number
  /** Absent until the head of an answer has arrived. */
  answer?: AnswerOrigin
  /** Whether the answer has gone on for so long that its prompt does not crash the target. */
  isProvedSound: boolean
  /** Whether the run ended for a cause in this host's own links, so that the target is not to blame. */
  isLinkLost: boolean
}

/** How far the tries of a call have come. */
export interface TryProgress {
  /** Requests sent to targets, with the one in progress. */
  tries: number
  /** Id of the last event that the caller received. */
  lastEventId: number | undefined
}

/** A request from its arrival until its connection is free again. */
export interface OpenRequest extends OpenCall {
  /** Absent until the request was read completely, and for one that was refused before. */
  call?: Call
}

/** What makes the gateway end a connection before the answer on it is complete. */
export type CutCause = 'attempts' | 'deadline' | 'targetFailed' | 'shutdown' | 'error'

/** Capacity held for a request until disposed of: a path of engines, or one target of a plain service. */
export interface Reservation extends Disposable {
  target: Target
  path: Path | undefined
}

/** A stream that an engine is producing. */
export interface ActiveStream {
  requestId: string
  service: Service
  size: RequestSize
  path: Path
  /** Monotonic time of the last event, or of the start. */
  lastProgressMs: number
  hasStarted: boolean
  /** Moving average of the pause between its events, in milliseconds. */
  meanPauseMs: number
  isRerouting: boolean
  /** Makes a path the stream's current one and moves its claim on capacity there. */
  assignPath: (path: Path) => void
  /** Whether the call may go on elsewhere after an interruption; if not, its engine is left to finish or to fail. */
  mayInterrupt: () => boolean
  /** Closes the exchange with its engine, so that the call resumes the stream on another path. */
  interrupt: (cause: string) => void
  /** Whether the exchange goes through a peer. */
  isRelayed: () => boolean
  /** Closes the exchange, since this host's own link to the first engine is lost. */
  leaveLink: () => void
}

/** State and dependencies shared by all calls of a gateway. */
export interface GatewayContext {
  fleet: FleetState
  loadTracker: LoadTracker
  suspicions: Suspicions
  budget: RetryBudget
  checkCoverage: (service: Service) => Coverage
  roomCheck: RoomCheck
  dispatcherOf: (service: string) => Dispatcher<Reservation>
  streams: Set<ActiveStream>
  control: EngineControl
  links: TargetLinks
  /** Rates of requests that targets say they take. */
  targetLimits: TargetLimits
  /** Times in which targets want no requests from this host. */
  targetPauses: TargetPauses
  /** What requests cost, as earlier answers show. */
  costs: CostModel
  /** How long answers take. */
  durations: DurationModel
  /** Which engines run slower than their kind. */
  slowdowns: Slowdowns
  /** Which parts of prompts crash engines. */
  crashEvidence: CrashEvidence
  /** Sends digests at once. */
  tellPeers: () => void
  /** Finds out whether a target is there, by a check that begins after the call of this function. */
  checkTarget: CheckTarget
  /** Resolves with whether a target that broke off an answer has ended. */
  hasCrashed: (target: Target) => Promise<boolean>
  /** Memory of the answers that are being read. */
  answerBytes: ByteBudget
  /** Memory of the bodies of open requests. */
  requestBytes: ByteBudget
  /** Paces the reading of answers in many short chunks. */
  answerPacer: AnswerPacer
  /** Shares the time of the event loop among connections with much input. */
  inputSlicer: InputSlicer
  format: CallFormat
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
  /** Mean age of what is known of the other hosts' load, in milliseconds. */
  loadAgeMs: () => number
  /** Number of hosts of the fleet, as far as this one knows. */
  hostCount: () => number
  /** Number of queued requests by service. */
  queueLengths: () => Map<string, number>
  /** Whether the process is shutting down; answers then ask the caller to close its connection. */
  isDraining: () => boolean
  /** Time since the shutdown was requested, in milliseconds. */
  /** Time until the open calls are ended, in milliseconds; `undefined` unless the host shuts down. */
  graceLeftMs: () => number | undefined
  /** Whether another host is known to serve callers. */
  isOtherHostReady: () => boolean
  drainingForMs: () => number | undefined
  /** Time since the list of targets was last confirmed, in milliseconds. */
  targetsAgeMs: () => number
}

/** Settings of a gateway; they do not change while it runs. */
export interface GatewaySettings {
  host: string
  ip: string
  failureDomain: string
  callerAddress: { address: string, port: number }
  readinessAddress: { address: string, port: number }
  /** Where peers read this host's copy of the fleet's state. */
  internalAddress: { address: string, port: number }
  metricsAddress: { address: string, port: number }
  /** Addresses of the hosts that get the first digests. */
  seedIps: string[]
  retryRatio: number
  retryExtra: number
  retryWindowMs: number
  /** Time from the request to stop until the process is killed. */
  graceMs: number
  /** Time after the request to stop during which the load balancer may still send new connections. */
  balancerLagMs: number
}

/** Adapters to the outside: store, engines, network, clock, log and metrics. */
export interface GatewayPorts {
  store: ObjectStore
  control: EngineControl
  /** Opens this host's own connections to targets. */
  connectDirectly: ConnectDirectly
  socket: DigestSocket
  format: CallFormat
  fleetFormat: FleetFormat
  runtime: Runtime
  log: EventLog
  metrics: GatewayMetrics
}
