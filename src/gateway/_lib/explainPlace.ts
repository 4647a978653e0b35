/**
 * Explains where a request would go now, and why, without sending, reserving, counting or learning
 * anything: the same choice as for a request, on a context that keeps nothing of it.
 */
import { z } from 'zod'
import { expectEventMs } from '../../cost/expectEventMs/index.js'
import type { EngineModel, Path, Route, Service, Target } from '../../fleet/types.js'
import type { RequestSize } from '../../path/choosePath/index.js'
import { computeCacheTokenLayers } from '../../path/_lib/stageCost.js'
import { createRoomCheck } from '../../room/createRoomCheck/index.js'
import type { GatewayContext, Reservation } from '../types.js'
import { estimateRequestSize, expectOutput, type PricedCall } from './estimateRequestSize.js'
import { pauseLeftMs, reservePath } from './reserveCapacity.js'
import { reserveTarget } from './reserveTarget.js'

const tokensSchema = z.coerce.number().int().min(0)

/** What is asked; figures that are left out are the usual ones of the model. */
const questionSchema = z.object({
  route: z.string().min(1),
  account: z.string().min(1).optional(),
  promptTokens: tokensSchema.optional(),
  maxTokens: tokensSchema.optional(),
  hint: tokensSchema.optional(),
  /** Shared parts of the prompt, in order. */
  parts: z.string().transform(text => text.split(',')).pipe(z.array(z.string().regex(/^[\da-f]{1,64}$/i, 'expected ids in hexadecimal, separated by commas'))).optional()
}).strict()

type Question = z.infer<typeof questionSchema>

/** One target of the service. */
export interface ExplainedCandidate {
  target: string
  address: string
  failureDomain: string
  kind?: string | undefined
  layers?: { from: number, to: number } | undefined
  /** Requests in progress, by all hosts. */
  requests: number
  /** Share of its cache that is in use or expected to be; engines only. */
  memoryUse?: number | undefined
  /** Factor on its expected time; `null` while it gets no work. */
  slowness: number | null
  /** Why it gets no such request, or not as the first engine of a path. */
  excluded?: string
}

/** What would become of a request to one service of the route. */
export interface ExplainedService {
  service: string
  /** Share of the route's requests that the service gets. */
  share: number
  expected: { promptTokens: number, outputTokens: number, highOutputTokens: number, workMs: number | null, answers: number }
  /** `placed` at once; `waits` for others or for room; `refused` without a try. */
  outcome: 'placed' | 'waits' | 'refused'
  cause?: string
  queueLength: number
  /** Time until the first target ends a pause that it asked for; `null` if none will. */
  pauseLeftMs: number | null
  path?: Array<{ target: string, address: string, failureDomain: string, from: number, to: number }>
  /** Expected time until the first event, without the links between failure domains. */
  firstEventMs?: number
  candidates: ExplainedCandidate[]
}

/** Answer to a question, or what is wrong with it. */
export type PlaceExplanation =
  | { status: 200, body: { route: string, account: string | null, services: ExplainedService[] } }
  | { status: 400 | 404 | 503, body: { error: string } }

/** Explains where a request would go. */
export function explainPlace (query: URLSearchParams, ownDomain: string, context: GatewayContext): PlaceExplanation {
  const parsed = questionSchema.safeParse(Object.fromEntries(query))
  if (!parsed.success) return { status: 400, body: { error: parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ') } }
  const question = parsed.data
  const configuration = context.fleet.configuration()
  if (configuration === undefined || context.fleet.revision() < 0) return { status: 503, body: { error: 'host not ready: it knows no configuration or no targets yet' } }
  const route = configuration.routes.find(({ name }) => name === question.route)
  if (route === undefined) return { status: 404, body: { error: `unknown route ${question.route}` } }
  const { account } = question
  if (account !== undefined && !configuration.accounts.some(({ name }) => name === account)) return { status: 404, body: { error: `unknown account ${account}` } }
  const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0)
  const services = route.services.flatMap(({ service: name, weight }) => {
    const service = configuration.services.find(candidate => candidate.name === name)
    return service === undefined ? [] : [explainService(service, weight / totalWeight, route, question, ownDomain, context)]
  })
  return { status: 200, body: { route: route.name, account: account ?? null, services } }
}

function explainService (service: Service, share: number, route: Route, question: Question, ownDomain: string, context: GatewayContext): ExplainedService {
  const { fleet, costs, queueLengths } = context
  const { model } = service
  const { account, hint, parts = [], promptTokens = model?.usualPromptTokens ?? 0, maxTokens = Number.MAX_SAFE_INTEGER } = question
  // The last part of a prompt belongs to the request itself.
  const call: PricedCall = { service, route, account, facts: { promptTokens, maxOutputTokens: maxTokens, hintedOutputTokens: hint, promptParts: [...parts, ''] } }
  const size = estimateRequestSize(call, context)
  const cost = model === undefined ? costs.expectWork({ route: route.name, account, sharedParts: parts }) : expectOutput(call, context)
  const dryContext = withoutEffects(context)
  using reservation = model === undefined ? reserveTarget(service, new Set(), ownDomain, dryContext) : reservePath(service, size, new Set(), ownDomain, dryContext)
  const leftMs = pauseLeftMs(service, new Set(), context)
  const queueLength = queueLengths().get(service.name) ?? 0
  return {
    service: service.name,
    share,
    expected: { promptTokens, outputTokens: round(cost.outputTokens), highOutputTokens: round(cost.highOutputTokens), workMs: cost.workMs === undefined ? null : round(cost.workMs), answers: cost.answers },
    ...judge(service, reservation, queueLength, context),
    queueLength,
    pauseLeftMs: Number.isFinite(leftMs) ? round(leftMs) : null,
    ...(reservation === undefined ? {} : { path: describePath(reservation) }),
    ...(reservation?.path === undefined ? {} : { firstEventMs: round(expectFirstEventMs(reservation.path, size, model!, context)) }),
    candidates: fleet.targets().filter(target => target.service === service.name).map(target => explainTarget(target, service, size, context))
  }
}

/** The context of a choice that is not carried out. Known load counts as of now, so that the same question gets the same answer. */
function withoutEffects (context: GatewayContext): GatewayContext {
  const { loadTracker, targetLimits, targetPauses } = context
  return {
    ...context,
    loadTracker: { ...loadTracker, claim: () => ({ resize () {}, [Symbol.dispose] () {} }) },
    targetLimits: { ...targetLimits, take () {} },
    targetPauses: { ...targetPauses, take () {} },
    roomCheck: createRoomCheck(),
    loadAgeMs: () => 0
  }
}

function judge (service: Service, reservation: Reservation | undefined, queueLength: number, context: GatewayContext): Pick<ExplainedService, 'outcome' | 'cause'> {
  if (reservation !== undefined) return queueLength === 0 ? { outcome: 'placed' } : { outcome: 'waits', cause: `${queueLength} requests queued` }
  if (context.fleet.servingTargets(service.name).length === 0) return { outcome: 'refused', cause: 'no target is up' }
  if (service.model === undefined) return { outcome: 'refused', cause: 'no target takes requests now' }
  return { outcome: 'waits', cause: context.checkCoverage(service).isWhole ? 'no path has room' : 'some layers are on no usable engine' }
}

function describePath ({ target, path }: Reservation): ExplainedService['path'] {
  const stages = path ?? [{ target, from: 0, to: 0 }]
  return stages.map(({ target: { id, address, failureDomain }, from, to }) => ({ target: id, address, failureDomain, from, to }))
}

/** Prefill on every stage, and the first event. */
function expectFirstEventMs (path: Path, { promptTokens }: RequestSize, model: EngineModel, { loadTracker, suspicions }: GatewayContext): number {
  const eventMs = new Map(expectEventMs(path, model, loadTracker.loadOf).map(({ targetId, expectedMs }) => [targetId, expectedMs]))
  return path.reduce((sum, { target, from, to }) => {
    const prefillFactor = model.kinds[target.kind ?? '']?.prefillFactor ?? 1
    const prefillMs = promptTokens / model.prefillTokensPerMs * prefillFactor * (to - from) / model.layerCount
    return sum + (prefillMs + (eventMs.get(target.id) ?? 0)) * suspicions.slownessOf(target.id)
  }, 0)
}

function explainTarget (target: Target, service: Service, size: RequestSize, context: GatewayContext): ExplainedCandidate {
  const { loadTracker, suspicions } = context
  const { id, address, failureDomain, kind, layers } = target
  const { sequences, tokenLayers } = loadTracker.loadOf(id)
  const slowness = suspicions.slownessOf(id)
  const cacheTokenLayers = service.model === undefined || layers === undefined ? undefined : computeCacheTokenLayers(target, layers.to - layers.from, service.model)
  const excluded = findExclusion(target, service, { size, cacheTokenLayers }, context)
  return {
    target: id,
    address,
    failureDomain,
    kind,
    layers,
    requests: sequences,
    memoryUse: cacheTokenLayers === undefined ? undefined : round(tokenLayers / Math.max(1, cacheTokenLayers)),
    slowness: Number.isFinite(slowness) ? round(slowness) : null,
    ...(excluded === undefined ? {} : { excluded })
  }
}

function findExclusion (target: Target, { name, model }: Service, { size, cacheTokenLayers = 0 }: { size: RequestSize, cacheTokenLayers: number | undefined }, { fleet, suspicions, targetPauses, targetLimits, loadTracker }: GatewayContext): string | undefined {
  const { id, layers, kind } = target
  if (!fleet.servingTargets(name).some(serving => serving.id === id)) return 'leaving'
  if (suspicions.isDown(id)) return suspicions.isUnfit(id) ? 'suspected: unreachable, or refused repeatedly' : 'suspected: refused a request'
  if (model !== undefined) {
    if (kind === undefined || model.kinds[kind] === undefined) return 'kind unknown'
    if (layers === undefined) return 'holds no layers'
    if (layers.to > model.layerCount) return 'layers outside the model'
    const { tokenLayers, firstSequences } = loadTracker.loadOf(id)
    if (tokenLayers + (size.promptTokens + size.outputTokens) * (layers.to - layers.from) > cacheTokenLayers) return 'no memory for all of its layers'
    if (layers.from > 0) return undefined
    if (firstSequences >= model.slots) return 'as first engine: all slots taken'
  }
  const prefix = model === undefined ? '' : 'as first engine: '
  if (!targetPauses.mayTake(id)) return `${prefix}asked for a pause, ${round(targetPauses.leftMs(id))} ms left`
  if (!targetLimits.mayTake(id)) return `${prefix}the rate that it names is used up`
  return undefined
}

/** Rounds to two decimals. */
function round (value: number): number {
  return Math.round(value * 100) / 100
}
