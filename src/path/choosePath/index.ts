/**
 * Chooses the engines that run a request. Answers the load pattern in which engines of several
 * speeds hold overlapping ranges of layers and some of them are full, suspected or behind the
 * narrow link between failure domains.
 */
import type { EngineModel, Path, Stage, Target } from '../../fleet/types.js'
import { crossingMs, CROSSING_TOKEN_MS } from '../_lib/linkCost.js'

/** What is known of the work on one engine. */
export interface EngineLoad {
  /** Cache in use, in tokens times layers; on a link, tokens that were lately sent across, with those expected in answer. */
  tokenLayers: number
  /** Sequences in progress. */
  sequences: number
  /** Sequences of which it is the first stage. */
  firstSequences: number
}

/** Size of a request. */
export interface RequestSize {
  promptTokens: number
  outputTokens: number
}

/** How engines are judged. */
export interface PathOptions {
  model: EngineModel
  loadOf: (targetId: string) => EngineLoad
  /** Multiplies the expected time of an engine; infinite for one that must not be used. */
  slownessOf: (targetId: string) => number
  /** Share of an engine's cache that the request may fill it up to; `CACHE_SHARE` by default. */
  cacheShare?: number
  /** Lets engines be used beyond their memory, where requests wait for each other. */
  isOvercommitted?: boolean
  /** Factor on the cost of a link, by its key; 1 by default. */
  linkBias?: (link: string) => number
  /** Most changes of the failure domain along the path. */
  maxCrossings?: number
  /** Failure domain to which the tokens go; any other costs a little. */
  ownDomain?: string
  /**
   * Path of a request that is under way. Its first stage stays; any other that is used again as
   * it was keeps its cache, while new stages read every token so far.
   */
  current?: Path
}

/** A path with the time that the request is expected to take on it. */
export interface ChosenPath {
  path: Path
  expectedMs: number
}

/** Changes of the failure domain along a path unless the caller allows others; further ones fill the links. */
export const USUAL_CROSSINGS = 1

/** Fixed cost of a further stage, in milliseconds; keeps paths short among equals. */
const STAGE_MS = 1

/** Share of an engine's cache that requests are given; the rest is for answers longer than expected. */
export const CACHE_SHARE = 0.95

/** Use of an engine's cache from which its steps count as slower, since requests begin to wait for each other, and how much. */
const CROWDED_FILL = 0.8
const CROWDING_WEIGHT = 2

/** Weight of reading a request's tokens again, during which its stream pauses, beyond their reading itself. */
const READ_AGAIN_WEIGHT = 20

/** An engine with what its stages cost, worked out once for a request. */
interface Candidate {
  target: Target
  /** Index of its failure domain among those of the candidates. */
  domain: number
  from: number
  to: number
  /** Expected time for each layer that it runs, in milliseconds. */
  layerMs: number
  /** Expected time of the steps alone for each layer, in milliseconds. */
  layerStepMs: number
  /** Cache in use, and all that may be used, in tokens times layers. */
  usedTokenLayers: number
  roomTokenLayers: number
  slowness: number
  canBeFirst: boolean
}

interface Step {
  costMs: number
  candidate: Candidate
  from: number
  to: number
  previous: Step | undefined
  crossings: number
}

/** Cost of a crossing from each failure domain to each other, `undefined` where the link is full. */
type CrossingCosts = Array<Array<number | undefined>>

/** Ways to one boundary that end in the same failure domain with as many crossings, cheapest first, each by another engine. */
const KEPT_STEPS = 3

/**
 * @name roomOf
 * @summary Cache of an engine that holds a number of layers.
 * @param target - The engine.
 * @param layerCount - Layers that it holds.
 * @param model - Its model.
 * @returns Tokens times layers; 0 for an engine of unknown kind.
 *
 * @example
 * roomOf(engine, 8, model)
 */
export function roomOf (target: Target, layerCount: number, model: EngineModel): number {
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  if (kind === undefined) return 0
  return Math.max(0, (kind.memoryMb - layerCount * model.layerMb) / model.tokenLayerMb)
}

/**
 * @name choosePath
 * @summary The path with the least expected time, over whatever ranges the engines hold.
 * @param engines - Engines that may be used.
 * @param size - Size of the request.
 * @param options - Model, load and suspicion.
 * @returns The path, or `undefined` when no path covers every layer.
 *
 * @example
 * choosePath(engines, { promptTokens: 800, outputTokens: 170 }, { model, loadOf, slownessOf })
 */
export function choosePath (engines: readonly Target[], size: RequestSize, options: PathOptions): ChosenPath | undefined {
  const { model, current } = options
  const first = current === undefined ? undefined : asTarget(current[0]!)
  const others = engines.flatMap(engine => engine.id === first?.id ? [] : describeCandidate(engine, size, options) ?? [])
  const fixed = first === undefined ? undefined : describeCandidate(first, size, options)
  if (first !== undefined && fixed === undefined) return undefined
  const candidates = fixed === undefined ? others : [fixed, ...others]
  const links = describeLinks(candidates, size, options)
  const boundaries = listBoundaries(candidates, model)
  /** The cheapest ways to each boundary, by the domain in which they end and their crossings. */
  const arrivals = new Map<number, Step[][]>(boundaries.map(boundary => [boundary, []]))
  for (const position of boundaries.slice(0, -1)) {
    const steps = position === 0 ? [undefined] : arrivals.get(position)!.flat()
    if (steps.length === 0) continue
    for (const candidate of candidates) {
      if (candidate.from > position || candidate.to <= position) continue
      if (fixed !== undefined && (position === 0) !== (candidate === fixed)) continue
      for (const end of boundaries) {
        if (end <= position || end > candidate.to || (candidate === fixed && end < candidate.to)) continue
        extend(arrivals.get(end)!, steps, candidate, position, end, links, size, options)
      }
    }
  }
  let last: Step | undefined
  for (const step of arrivals.get(model.layerCount)!.flat()) if (last === undefined || step.costMs < last.costMs) last = step
  return last === undefined ? undefined : { path: unwind(last), expectedMs: last.costMs }
}

/** Whether two stages are the same engine with the same layers. */
export function isSameStage (one: Stage, other: Stage): boolean {
  return one.target.id === other.target.id && one.from === other.from && one.to === other.to
}

function asTarget ({ target, from, to }: Stage): Target {
  return { ...target, layers: { from, to } }
}

/** `undefined` for an engine that must not be used. */
function describeCandidate (target: Target, size: RequestSize, options: PathOptions): Candidate | undefined {
  const { model } = options
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  const slowness = options.slownessOf(target.id)
  if (kind === undefined || target.layers === undefined || !Number.isFinite(slowness)) return undefined
  const { from, to } = target.layers
  const load = options.loadOf(target.id)
  const contextK = load.tokenLayers / Math.max(1, to - from) / 1_000
  const stepMs = (model.stepMs + model.perSequenceMs * (load.sequences + 1) + model.perContextKMs * contextK) * kind.pace / model.layerCount
  const prefillMs = size.promptTokens / model.prefillTokensPerMs * kind.prefillFactor / model.layerCount
  return {
    target,
    domain: 0,
    from,
    to: Math.min(to, model.layerCount),
    layerMs: prefillMs + stepMs * size.outputTokens,
    layerStepMs: stepMs * size.outputTokens,
    usedTokenLayers: load.tokenLayers,
    roomTokenLayers: Math.max(1, roomOf(target, to - from, model) * (options.cacheShare ?? CACHE_SHARE)),
    slowness,
    canBeFirst: load.firstSequences < model.slots
  }
}

function listBoundaries (candidates: readonly Candidate[], model: EngineModel): number[] {
  const boundaries = new Set([0, model.layerCount])
  for (const { from, to } of candidates) boundaries.add(from).add(to)
  return [...boundaries].filter(boundary => boundary <= model.layerCount).sort((a, b) => a - b)
}

interface Links {
  costs: CrossingCosts
  /** The same for a stage that keeps its cache, so that no prompt is sent. */
  keptCosts: CrossingCosts
}

/** Numbers the failure domains of the candidates and works the links between them out once. */
function describeLinks (candidates: readonly Candidate[], size: RequestSize, options: PathOptions): Links {
  const firsts = [...new Map(candidates.map(candidate => [candidate.target.failureDomain, candidate.target])).values()]
  for (const candidate of candidates) candidate.domain = firsts.findIndex(first => first.failureDomain === candidate.target.failureDomain)
  const table = (promptTokens: number): CrossingCosts => firsts.map(from => firsts.map(to => from === to ? 0 : crossingMs(from, to, { ...size, promptTokens }, options)))
  return { costs: table(size.promptTokens), keptCosts: options.current === undefined ? [] : table(0) }
}

function extend (arrivals: Step[][], steps: ReadonlyArray<Step | undefined>, candidate: Candidate, from: number, to: number, links: Links, size: RequestSize, options: PathOptions): void {
  const isKept = options.current?.some(stage => isSameStage(stage, { target: candidate.target, from, to })) ?? false
  const stageMs = isKept ? candidate.layerStepMs * (to - from) : expectStageMs(candidate, to - from, size, options, from === 0)
  if (stageMs === undefined) return
  const costs = isKept ? links.keptCosts : links.costs
  const mostCrossings = options.maxCrossings ?? USUAL_CROSSINGS
  for (const previous of steps) {
    const isCrossing = previous !== undefined && previous.candidate.domain !== candidate.domain
    const crossings = (previous?.crossings ?? 0) + (isCrossing ? 1 : 0)
    if (crossings > mostCrossings) continue
    const linkMs = isCrossing ? costs[previous.candidate.domain]![candidate.domain] : 0
    if (linkMs === undefined) continue
    const isAway = previous === undefined && options.ownDomain !== undefined && options.ownDomain !== candidate.target.failureDomain
    const costMs = (previous?.costMs ?? 0) + stageMs + linkMs + (isAway ? CROSSING_TOKEN_MS * size.outputTokens : 0)
    const slot = candidate.domain * (mostCrossings + 1) + crossings
    const kept = arrivals[slot] ??= []
    if (kept.length === KEPT_STEPS && costMs >= kept[KEPT_STEPS - 1]!.costMs) continue
    if (includesTarget(previous, candidate)) continue
    keep(kept, { costMs, candidate, from, to, previous, crossings })
  }
}

/** Puts a step among the cheapest, at most one for each engine. */
function keep (kept: Step[], step: Step): void {
  const known = kept.findIndex(other => other.candidate === step.candidate)
  if (known >= 0) {
    if (kept[known]!.costMs <= step.costMs) return
    kept.splice(known, 1)
  }
  const index = kept.findIndex(other => other.costMs > step.costMs)
  kept.splice(index < 0 ? kept.length : index, 0, step)
  if (kept.length > KEPT_STEPS) kept.pop()
}

function includesTarget (step: Step | undefined, candidate: Candidate): boolean {
  for (let at = step; at !== undefined; at = at.previous) if (at.candidate === candidate) return true
  return false
}

/** Expected time that one stage adds to the whole request, or `undefined` when it has no room. */
function expectStageMs (candidate: Candidate, layers: number, size: RequestSize, options: PathOptions, isFirst: boolean): number | undefined {
  const neededTokenLayers = (size.promptTokens + size.outputTokens) * layers
  const fill = (candidate.usedTokenLayers + neededTokenLayers) / candidate.roomTokenLayers
  if (options.isOvercommitted !== true && (fill > 1 || (isFirst && !candidate.canBeFirst))) return undefined
  const crowdingMs = Math.max(0, fill - CROWDED_FILL) * candidate.layerStepMs * layers * CROWDING_WEIGHT
  const readMs = (candidate.layerMs - candidate.layerStepMs) * layers * (options.current === undefined ? 0 : READ_AGAIN_WEIGHT)
  return (candidate.layerMs * layers + crowdingMs + readMs) * candidate.slowness + STAGE_MS
}

function unwind (last: Step): Path {
  const path: Path = []
  for (let step: Step | undefined = last; step !== undefined; step = step.previous) {
    path.unshift({ target: step.candidate.target, from: step.from, to: step.to })
  }
  return path
}
