/**
 * A gateway's call handler on the loopback interface, in front of stand-in targets.
 */
import http from 'node:http'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { createCallHandler } from '../../src/gateway/createCallHandler/index.js'
import { createCostModel } from '../../src/cost/createCostModel/index.js'
import { createDurationModel } from '../../src/cost/createDurationModel/index.js'
import { createSlowdowns } from '../../src/cost/createSlowdowns/index.js'
import { createCrashEvidence } from '../../src/crash/createCrashEvidence/index.js'
import { createAnswerPacer } from '../../src/gateway/_lib/createAnswerPacer.js'
import { createByteBudget } from '../../src/gateway/_lib/createByteBudget.js'
import { createInputSlicer } from '../../src/gateway/_lib/createInputSlicer.js'
import { createCrashDetector } from '../../src/gateway/_lib/createCrashDetector.js'
import { createTargetCheck } from '../../src/gateway/_lib/createTargetCheck.js'
import type { GatewayContext, Reservation } from '../../src/gateway/types.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import type { FleetConfiguration, Route, Target } from '../../src/fleet/types.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import type { ConnectDirectly } from '../../src/links/types.js'
import { createTargetLinks } from '../../src/links/createTargetLinks/index.js'
import { listen } from '../../src/http/listen/index.js'
import { createCoverageCheck } from '../../src/path/createCoverageCheck/index.js'
import { createLoadTracker } from '../../src/path/createLoadTracker/index.js'
import type { EngineControl } from '../../src/placement/types.js'
import { createTargetLimits } from '../../src/rateLimit/createTargetLimits/index.js'
import { createTargetPauses } from '../../src/pause/createTargetPauses/index.js'
import { createRetryBudget } from '../../src/retry/createRetryBudget/index.js'
import { createRoomCheck } from '../../src/room/createRoomCheck/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import type { Runtime } from '../../src/runtime/types.js'
import { createSuspicions } from '../../src/suspicion/createSuspicions/index.js'
import { createDispatcher, type Dispatcher } from '../../src/waiting/createDispatcher/index.js'
import { platformHeaders } from '../../platform/headers.js'
import { TEST_MODEL } from './buildFleet.js'
import { createTestLog } from './createTestLog.js'

const route = (kind: Route['kind'], service: string): Route => ({
  name: kind,
  host: 'studio.example',
  pathPrefix: `/${kind}/`,
  kind,
  timeoutMs: 5_000,
  objectiveMs: 2_000,
  rank: 1,
  services: [{ service, weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  isResumable: kind === 'stream'
})

/** Routes of each kind, and one account with the key `secret`. */
export const TEST_CONFIGURATION: FleetConfiguration = {
  version: 3,
  routes: [route('safe', 'orders'), route('unsafe', 'orders'), route('stream', 'model')],
  services: [{ name: 'orders' }, { name: 'model', model: TEST_MODEL }],
  accounts: [{ name: 'studio', keys: ['secret'] }],
  limits: { headerBytes: 16_384, bodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
}

/** The answer that a caller got. */
export interface CallerResult {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
  /** Whether the whole body arrived. */
  isComplete: boolean
}

interface TestGatewayOptions {
  configuration?: FleetConfiguration | undefined
  /** Replaces methods of the client for orders to engines. */
  control?: Partial<EngineControl>
  endSignal?: AbortSignal
  connectDirectly?: ConnectDirectly
  /** Replaces parts of the context. */
  parts?: Partial<GatewayContext>
  /** Time until the open calls of a gateway that shuts down are ended. */
  graceLeftMs?: () => number | undefined
  isOtherHostReady?: boolean
  /** Internal addresses of peers that open connections for the gateway. */
  relays?: string[]
  runtime?: Runtime
  /** Clock of the connections to targets; that of the gateway by default. */
  linksRuntime?: Runtime
}

/** Starts the handler. */
export async function startTestGateway (targets: readonly Target[], options: TestGatewayOptions = {}) {
  const { control = {}, parts = {}, graceLeftMs = () => undefined, isOtherHostReady = true, relays = [], endSignal = new AbortController().signal, runtime = createSystemRuntime(), linksRuntime = runtime } = options
  const { connectDirectly = address => connectSocket(address, { timeoutMs: 100, runtime }) } = options
  const fleet = createFleetState({ runtime })
  const configuration = 'configuration' in options ? options.configuration : TEST_CONFIGURATION
  if (configuration !== undefined) fleet.applyConfiguration(configuration)
  fleet.applySnapshot({ revision: 1, targets: [...targets] })
  const slowdowns = createSlowdowns({ runtime })
  const suspicions = createSuspicions({ runtime, slowdownOf: slowdowns.slowdownOf })
  const dispatchers = new Map<string, Dispatcher<Reservation>>()
  const log = createTestLog()
  const linksController = new AbortController()
  const engineControl: EngineControl = { report: async () => undefined, place: async () => ({ kind: 'begun' }), repath: async () => ({ kind: 'done' }), isReachable: async () => true, ...control }
  const links = createTargetLinks({ connectDirectly, isReachable: engineControl.isReachable, relays: () => relays, targets: fleet.targets, runtime: linksRuntime, log, signal: linksController.signal })
  const checkTarget = createTargetCheck({ links, runtime })
  const context: GatewayContext = {
    fleet,
    loadTracker: createLoadTracker({ runtime }),
    suspicions,
    budget: createRetryBudget({ ratio: 0.2, extraRetries: 196, windowMs: 10_000, runtime, hostCount: () => 1 }),
    streams: new Set(),
    control: engineControl,
    links,
    targetLimits: createTargetLimits({ runtime, log, ownIp: '127.0.0.1', otherIps: () => [] }),
    targetPauses: createTargetPauses({ runtime, log }),
    answerBytes: createByteBudget(),
    requestBytes: createByteBudget(),
    answerPacer: createAnswerPacer(),
    inputSlicer: createInputSlicer(runtime),
    costs: createCostModel({ runtime }),
    durations: createDurationModel({ runtime }),
    slowdowns,
    crashEvidence: createCrashEvidence({ runtime, log }),
    tellPeers: () => {},
    checkTarget,
    hasCrashed: createCrashDetector({ checkTarget }),
    format: platformHeaders,
    runtime,
    log,
    metrics: createGatewayMetrics(),
    loadAgeMs: () => 0,
    hostCount: () => 1,
    queueLengths: () => new Map(),
    checkCoverage: createCoverageCheck({ fleet, suspicions, runtime }),
    roomCheck: createRoomCheck(),
    dispatcherOf (service) {
      const known = dispatchers.get(service) ?? createDispatcher<Reservation>({ runtime })
      dispatchers.set(service, known)
      return known
    },
    isDraining: () => graceLeftMs() !== undefined,
    graceLeftMs,
    isOtherHostReady: () => isOtherHostReady,
    drainingForMs: () => undefined,
    targetsAgeMs: () => 0,
    ...parts
  }
  const server = await listen(createCallHandler(context, { ownDomain: 'north', isAccepting: () => true, endSignal }), { address: '127.0.0.1', port: 0, onConnection: context.inputSlicer.slice })
  return {
    parts: context,
    address: server.address,
    send: (path: string, headers: Record<string, string> = {}, body = '') => sendCall(server.address, path, headers, body),
    async [Symbol.asyncDispose] () {
      linksController.abort()
      await server[Symbol.asyncDispose]()
    }
  }
}

/** Sends one call as a caller with a valid key. */
export function sendCall (address: string, path: string, headers: Record<string, string>, body: string): Promise<CallerResult> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const request = http.request({ host, port: Number(port), path, method: 'POST', agent: false, headers: { host: 'studio.example', authorization: 'Token secret', 'request-id': 'r1', 'deadline-ms': '4000', 'token-usage': '100,40', ...headers } })
    request.once('error', reject)
    request.once('response', response => {
      let text = ''
      const finish = (): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text, isComplete: response.complete })
      response.on('data', chunk => { text += chunk })
      response.once('error', finish)
      response.once('close', finish)
    })
    request.end(body)
  })
}
