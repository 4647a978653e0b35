/**
 * Chooses the engines that run a request. Handles fleets whose engines run at several speeds and
 * hold overlapping ranges of layers, while some of them are full, suspected or behind a link of
 * low bandwidth between failure domains. The search is a dynamic program over layer boundaries:
 * partial paths that end at a boundary are extended by every engine that holds the next layer.
 */
import type { EngineModel, Path, Stage, Target } from '../../fleet/types.js'
import { estimateCrossingMs, CROSSING_TOKEN_MS } from '../_lib/linkCost.js'
import { createCandidate, estimateStageMs, type Candidate } from '../_lib/stageCost.js'

/** Load of one engine, or of the link between two failure domains. */
export interface EngineLoad {
  /** For an engine, cache in use in tokens times layers; for a link, prompt and expected output tokens of its requests in the last `LINK_WINDOW_MS`. */
  tokenLayers: number
  /** Requests in progress. */
  sequences: number
  /** Requests in progress of which it is the first stage. */
  firstSequences: number
}

/** Expected size of a request. */
export interface RequestSize {
  promptTokens: number
  outputTokens: number
}

/** Model, load and limits that a path is chosen by. */
export interface PathOptions {
  model: EngineModel
  loadOf: (targetId: string) => EngineLoad
  /** Multiplies the expected time of an engine; infinite for one that must not be used. */
  slownessOf: (targetId: string) => number
  /** Whether a path may begin on an engine; all may by default. */
  mayBeFirst?: (targetId: string) => boolean
  /** Share of an engine's cache that may be in use including this request; `CACHE_SHARE` by default. */
  cacheShare?: number
  /** Ignores the limits of engines and links, so that requests may have to wait for each other. */
  isOvercommitted?: boolean
  /** Factor on the transfer cost of a link, by its key; 1 by default. */
  linkCostFactor?: (link: string) => number
  /** Largest number of changes of the failure domain along the path; `DEFAULT_MAX_CROSSINGS` by default. */
  maxCrossings?: number
  /** Failure domain that receives the tokens; a first stage elsewhere adds the delay of a crossing to each token. */
  ownDomain?: string
  /**
   * Path of a request in progress. Its first stage stays. Any other stage that is used again
   * with the same layers keeps its cache, while new stages prefill every token so far.
   */
  currentPath?: Path
}

/** A path with the expected time of the request on it, in milliseconds. */
export interface ChosenPath {
  path: Path
  expectedMs: number
}

/** Largest number of changes of the failure domain along a path unless the caller sets another; more would fill the links. */
export const DEFAULT_MAX_CROSSINGS = 1

/** Stages that run the layers from 0 to a boundary, as a linked list from the last one back. */
interface PartialPath {
  costMs: number
  candidate: Candidate
  from: number
  to: number
  previous: PartialPath | undefined
  crossings: number
}

/** Cost in milliseconds of a crossing from each failure domain to each other, `undefined` where the link is full. */
type CrossingCosts = Array<Array<number | undefined>>

/** Partial paths that are kept for one boundary, failure domain and number of crossings: the cheapest, each with another last engine. */
const KEPT_PARTIAL_PATHS = 3

/**
 * @name choosePath
 * @summary Finds the path with the least expected time that the ranges of the engines allow.
 * @param engines - Engines that may be used.
 * @param size - Size of the request.
 * @param options - Model, load and limits.
 * @returns The path, or `undefined` when no path within the limits covers every layer.
 *
 * @example
 * choosePath(engines, { promptTokens: 800, outputTokens: 170 }, { model, loadOf, slownessOf })
 */
export function choosePath (engines: readonly Target[], size: RequestSize, options: PathOptions): ChosenPath | undefined {
  const { model, currentPath } = options
  const first = currentPath === undefined ? undefined : toTarget(currentPath[0]!)
  const others = engines.flatMap(engine => engine.id === first?.id ? [] : createCandidate(engine, size, options) ?? [])
  const firstCandidate = first === undefined ? undefined : createCandidate(first, size, options)
  if (first !== undefined && firstCandidate === undefined) return undefined
  const candidates = firstCandidate === undefined ? others : [firstCandidate, ...others]
  const linkCosts = computeLinkCosts(candidates, size, options)
  const boundaries = listBoundaries(candidates, model)
  const maxCrossings = options.maxCrossings ?? DEFAULT_MAX_CROSSINGS
  /** The cheapest partial paths to each boundary, indexed by final failure domain and number of crossings. */
  const partialPaths = new Map<number, PartialPath[][]>(boundaries.map(boundary => [boundary, []]))
  for (const [index, position] of boundaries.slice(0, -1).entries()) {
    const endings = partialPaths.get(position)!
    if (position > 0 && endings.length === 0) continue
    const entries = createEntries(endings, linkCosts.costs, maxCrossings)
    const keptEntries = currentPath === undefined ? entries : createEntries(endings, linkCosts.keptCosts, maxCrossings)
    for (const candidate of candidates) {
      if (candidate.from > position || candidate.to <= position) continue
      if (position === 0 && currentPath === undefined && options.mayBeFirst?.(candidate.target.id) === false) continue
      if (firstCandidate !== undefined && (position === 0) !== (candidate === firstCandidate)) continue
      const cheapest = position === 0 ? [START] : entries.map(lists => findCheapest(lists[candidate.domain]!, candidate))
      const cheapestKept = entries === keptEntries || position === 0 ? cheapest : keptEntries.map(lists => findCheapest(lists[candidate.domain]!, candidate))
      for (let endIndex = index + 1; endIndex < boundaries.length && boundaries[endIndex]! <= candidate.to; endIndex++) {
        const end = boundaries[endIndex]!
        if (candidate === firstCandidate && end < candidate.to) continue
        const isKept = currentPath?.some(stage => isSameStage(stage, { target: candidate.target, from: position, to: end })) ?? false
        const stageMs = isKept ? candidate.layerDecodeMs * (end - position) : estimateStageMs(candidate, end - position, size, options, position === 0)
        if (stageMs === undefined) continue
        extendPaths(partialPaths.get(end)!, isKept ? cheapestKept : cheapest, { candidate, from: position, to: end, stageMs }, size, options)
      }
    }
  }
  let best: PartialPath | undefined
  for (const partial of partialPaths.get(model.layerCount)!.flat()) if (best === undefined || partial.costMs < best.costMs) best = partial
  return best === undefined ? undefined : { path: listStages(best), expectedMs: best.costMs }
}

/** Whether two stages run the same layers on the same engine. */
export function isSameStage (one: Stage, other: Stage): boolean {
  return one.target.id === other.target.id && one.from === other.from && one.to === other.to
}

function toTarget ({ target, from, to }: Stage): Target {
  return { ...target, layers: { from, to } }
}

/** Layer numbers at which a stage can begin or end, in ascending order. */
function listBoundaries (candidates: readonly Candidate[], model: EngineModel): number[] {
  const boundaries = new Set([0, model.layerCount])
  for (const { from, to } of candidates) boundaries.add(from).add(to)
  return [...boundaries].filter(boundary => boundary <= model.layerCount).sort((a, b) => a - b)
}

interface LinkCosts {
  costs: CrossingCosts
  /** Costs of a crossing to a stage that keeps its cache, so that no prompt is sent. */
  keptCosts: CrossingCosts
}

/** Numbers the failure domains of the candidates and computes the cost of each link between them. */
function computeLinkCosts (candidates: readonly Candidate[], size: RequestSize, options: PathOptions): LinkCosts {
  const domainTargets = [...new Map(candidates.map(candidate => [candidate.target.failureDomain, candidate.target])).values()]
  for (const candidate of candidates) candidate.domain = domainTargets.findIndex(target => target.failureDomain === candidate.target.failureDomain)
  const computeCosts = (promptTokens: number): CrossingCosts => domainTargets.map(from => domainTargets.map(to => from === to ? 0 : estimateCrossingMs(from, to, { ...size, promptTokens }, options)))
  return { costs: computeCosts(size.promptTokens), keptCosts: options.currentPath === undefined ? [] : computeCosts(0) }
}

/** A partial path that a stage may be added to, with the cost of the crossing to the stage's failure domain. */
interface Entry {
  previous: PartialPath | undefined
  linkMs: number
}

const START: Entry = { previous: undefined, linkMs: 0 }

/** Entries by their number of crossings and the failure domain that they go on in, shared by all engines of that domain. */
type Entries = ReadonlyArray<ReadonlyArray<readonly Entry[]>>

function createEntries (endings: ReadonlyArray<readonly PartialPath[] | undefined>, costs: CrossingCosts, maxCrossings: number): Entries {
  const entries = Array.from({ length: maxCrossings + 1 }, () => costs.map((): Entry[] => []))
  for (const partials of endings) {
    if (partials === undefined) continue
    for (const previous of partials) {
      for (let domain = 0; domain < costs.length; domain++) {
        const isCrossing = previous.candidate.domain !== domain
        const linkMs = isCrossing ? costs[previous.candidate.domain]![domain] : 0
        const crossings = previous.crossings + (isCrossing ? 1 : 0)
        if (linkMs === undefined || crossings > maxCrossings) continue
        const list = entries[crossings]![domain]!
        // The cheapest one comes first; it is the one for nearly every engine.
        if (list.length > 0 && costOf(list[0]!) > previous.costMs + linkMs) list.unshift({ previous, linkMs })
        else list.push({ previous, linkMs })
      }
    }
  }
  return entries
}

const costOf = ({ previous, linkMs }: Entry): number => (previous?.costMs ?? 0) + linkMs

/** The cheapest partial path without the engine. */
function findCheapest (list: readonly Entry[], candidate: Candidate): Entry | undefined {
  const first = list[0]
  if (first === undefined || !includesEngine(first.previous, candidate)) return first
  let cheapest: Entry | undefined
  for (const entry of list) if ((cheapest === undefined || costOf(entry) < costOf(cheapest)) && !includesEngine(entry.previous, candidate)) cheapest = entry
  return cheapest
}

/** A stage that partial paths may be extended by, with its cost. */
interface StageExtension {
  candidate: Candidate
  from: number
  to: number
  stageMs: number
}

/** Adds a stage to the cheapest partial path for each number of crossings, and keeps the results that are among the cheapest at its end. */
function extendPaths (partialPaths: PartialPath[][], cheapest: ReadonlyArray<Entry | undefined>, { candidate, from, to, stageMs }: StageExtension, size: RequestSize, options: PathOptions): void {
  const maxCrossings = options.maxCrossings ?? DEFAULT_MAX_CROSSINGS
  const isOutsideOwnDomain = from === 0 && options.ownDomain !== undefined && options.ownDomain !== candidate.target.failureDomain
  for (let crossings = 0; crossings < cheapest.length; crossings++) {
    const entry = cheapest[crossings]
    if (entry === undefined) continue
    const { previous, linkMs } = entry
    const costMs = (previous?.costMs ?? 0) + stageMs + linkMs + (isOutsideOwnDomain ? CROSSING_TOKEN_MS * size.outputTokens : 0)
    const slot = candidate.domain * (maxCrossings + 1) + crossings
    const kept = partialPaths[slot] ??= []
    if (kept.length === KEPT_PARTIAL_PATHS && costMs >= kept[KEPT_PARTIAL_PATHS - 1]!.costMs) continue
    insertByCost(kept, { costMs, candidate, from, to, previous, crossings })
  }
}

/** Inserts a partial path in order of cost, with at most one for each last engine, and drops the most expensive beyond the limit. */
function insertByCost (kept: PartialPath[], partial: PartialPath): void {
  const known = kept.findIndex(other => other.candidate === partial.candidate)
  if (known >= 0) {
    if (kept[known]!.costMs <= partial.costMs) return
    kept.splice(known, 1)
  }
  const index = kept.findIndex(other => other.costMs > partial.costMs)
  kept.splice(index < 0 ? kept.length : index, 0, partial)
  if (kept.length > KEPT_PARTIAL_PATHS) kept.pop()
}

function includesEngine (partial: PartialPath | undefined, candidate: Candidate): boolean {
  for (let part = partial; part !== undefined; part = part.previous) if (part.candidate === candidate) return true
  return false
}

function listStages (last: PartialPath): Path {
  const path: Path = []
  for (let partial: PartialPath | undefined = last; partial !== undefined; partial = partial.previous) {
    path.unshift({ target: partial.candidate.target, from: partial.from, to: partial.to })
  }
  return path
}
