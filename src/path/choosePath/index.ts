/**
 * Chooses the engines that run a request. Answers the load pattern in which engines of several
 * speeds hold overlapping ranges of layers and some of them are full, suspected or behind the
 * narrow link between failure domains.
 */
import type { EngineModel, Path, Stage, Target } from '../../fleet/types.js'
import { crossingMs, CROSSING_TOKEN_MS } from '../_lib/linkCost.js'
import { describeCandidate, expectStageMs, type Candidate } from '../_lib/stageCost.js'

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
  linkCostFactor?: (link: string) => number
  /** Most changes of the failure domain along the path. */
  maxCrossings?: number
  /** Failure domain to which the tokens go; any other costs a little. */
  ownDomain?: string
  /**
   * Path of a request that is under way. Its first stage stays; any other that is used again as
   * it was keeps its cache, while new stages read every token so far.
   */
  currentPath?: Path
}

/** A path with the time that the request is expected to take on it. */
export interface ChosenPath {
  path: Path
  expectedMs: number
}

/** Changes of the failure domain along a path unless the caller allows others; further ones fill the links. */
export const USUAL_CROSSINGS = 1

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
  const { model, currentPath } = options
  const first = currentPath === undefined ? undefined : asTarget(currentPath[0]!)
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
  return { costs: table(size.promptTokens), keptCosts: options.currentPath === undefined ? [] : table(0) }
}

function extend (arrivals: Step[][], steps: ReadonlyArray<Step | undefined>, candidate: Candidate, from: number, to: number, links: Links, size: RequestSize, options: PathOptions): void {
  const isKept = options.currentPath?.some(stage => isSameStage(stage, { target: candidate.target, from, to })) ?? false
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

function unwind (last: Step): Path {
  const path: Path = []
  for (let step: Step | undefined = last; step !== undefined; step = step.previous) {
    path.unshift({ target: step.candidate.target, from: step.from, to: step.to })
  }
  return path
}
