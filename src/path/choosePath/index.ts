/**
 * Chooses the engines that run a request. Answers the load pattern in which engines of several
 * speeds hold overlapping ranges of layers and some of them are full, suspected or behind the
 * narrow link between failure domains.
 */
import type { EngineModel, Path, Stage, Target } from '../../fleet/types.js'

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
  /** Lets engines be used beyond their memory, where requests wait for each other. */
  isOvercommitted?: boolean
  /** Most changes of the failure domain along the path. */
  maxCrossings?: number
  /** Failure domain to which the tokens go; any other costs a little. */
  ownDomain?: string
  /** First stage of the path, with all of its layers, as for a request that is under way there. */
  first?: Target
}

/** A path with the time that the request is expected to take on it. */
export interface ChosenPath {
  path: Path
  expectedMs: number
}

/** Changes of the failure domain along a path unless the caller allows others; further ones fill the links. */
export const USUAL_CROSSINGS = 1

/** Weight of a crossing between failure domains over its own transfer time: the link is shared by all requests. */
const CROSSING_WEIGHT = 2

/** Time over which the use of a link is averaged, in milliseconds. */
export const LINK_WINDOW_MS = 500

/** Use of a link up to which requests are sent over it; transfers queue beyond. */
const LINK_USE_LIMIT = 0.5

/** Delay that a crossing adds to each token, in milliseconds; the configuration's delays between domains are of this order. */
const CROSSING_TOKEN_MS = 0.5

/** Tokens of a prompt that are sent across as one transfer; a token behind it waits for half of it on average. */
const TRANSFER_TOKENS = 512

/** Fixed cost of a further stage, in milliseconds; keeps paths short among equals. */
const STAGE_MS = 1

/** Share of an engine's cache that requests are given; the rest is for answers longer than expected. */
const CACHE_SHARE = 0.95

/** Bits in a byte, over bits in a megabit, times milliseconds in a second. */
const MS_PER_BYTE_AT_1_MBPS = 8 / 1_000

interface Step {
  costMs: number
  stage: Stage
  previous: Step | undefined
  crossings: number
}

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
  const { model, first } = options
  const others = engines.filter(engine => engine.layers !== undefined && Number.isFinite(options.slownessOf(engine.id)))
  const usable = first === undefined ? others : [first, ...others]
  const boundaries = listBoundaries(usable, model)
  const best = new Map<string, Step>()
  for (const position of boundaries.slice(0, -1)) {
    const arrivals = position === 0 ? [undefined] : [...best.values()].filter(step => step.stage.to === position)
    if (arrivals.length === 0) continue
    for (const engine of usable) {
      if (first !== undefined && (position === 0) !== (engine === first)) continue
      const { from, to } = engine.layers!
      if (from > position || to <= position) continue
      for (const end of boundaries) {
        if (end <= position || end > to || (engine === first && end < to)) continue
        extend(best, arrivals, { target: engine, from: position, to: end }, size, options)
      }
    }
  }
  const ends = [...best.values()].filter(step => step.stage.to === model.layerCount)
  const last = ends.reduce<Step | undefined>((least, step) => least === undefined || step.costMs < least.costMs ? step : least, undefined)
  if (last === undefined) return undefined
  const path = unwind(last)
  return hasRepeatedTarget(path) ? undefined : { path, expectedMs: last.costMs }
}

function listBoundaries (engines: readonly Target[], model: EngineModel): number[] {
  const boundaries = new Set([0, model.layerCount])
  for (const { layers } of engines) {
    boundaries.add(layers!.from)
    boundaries.add(layers!.to)
  }
  return [...boundaries].filter(boundary => boundary <= model.layerCount).sort((a, b) => a - b)
}

/** Keeps the cheapest way to each boundary by each engine and number of crossings. */
function extend (best: Map<string, Step>, arrivals: Array<Step | undefined>, stage: Stage, size: RequestSize, options: PathOptions): void {
  const stageMs = expectStageMs(stage, size, options, arrivals[0] === undefined)
  if (stageMs === undefined) return
  for (const previous of arrivals) {
    if (previous !== undefined && includesTarget(previous, stage.target.id)) continue
    const isCrossing = previous !== undefined && previous.stage.target.failureDomain !== stage.target.failureDomain
    const linkMs = isCrossing ? crossingMs(previous.stage.target, stage.target, size, options) : 0
    if (linkMs === undefined) continue
    const isAway = previous === undefined && options.ownDomain !== undefined && options.ownDomain !== stage.target.failureDomain
    const crossings = (previous?.crossings ?? 0) + (isCrossing ? 1 : 0)
    if (crossings > (options.maxCrossings ?? USUAL_CROSSINGS)) continue
    const key = `${stage.to} ${stage.target.id} ${crossings}`
    const costMs = (previous?.costMs ?? 0) + stageMs + (isAway ? CROSSING_TOKEN_MS * size.outputTokens : 0) + linkMs
    const known = best.get(key)
    if (known === undefined || costMs < known.costMs) best.set(key, { costMs, stage, previous, crossings })
  }
}

function includesTarget (step: Step | undefined, id: string): boolean {
  for (let at = step; at !== undefined; at = at.previous) if (at.stage.target.id === id) return true
  return false
}

/** Expected time that one stage adds to the whole request, or `undefined` when it has no room. */
function expectStageMs (stage: Stage, size: RequestSize, options: PathOptions, isFirst: boolean): number | undefined {
  const { model, isOvercommitted = false } = options
  const { target, from, to } = stage
  const kind = target.kind === undefined ? undefined : model.kinds[target.kind]
  if (kind === undefined) return undefined
  const load = options.loadOf(target.id)
  const held = target.layers!.to - target.layers!.from
  const room = roomOf(target, held, model) * CACHE_SHARE
  const needed = (size.promptTokens + size.outputTokens) * (to - from)
  const fill = (load.tokenLayers + needed) / Math.max(1, room)
  if (!isOvercommitted && (fill > 1 || (isFirst && load.firstSequences >= model.slots))) return undefined
  const share = (to - from) / model.layerCount
  const contextK = load.tokenLayers / Math.max(1, held) / 1_000
  const stepMs = (model.stepMs + model.perSequenceMs * (load.sequences + 1) + model.perContextKMs * contextK) * kind.pace * share
  const prefillMs = size.promptTokens / model.prefillTokensPerMs * kind.prefillFactor * share
  const crowding = Math.max(0, fill - 0.8) * stepMs * size.outputTokens * 2
  return (prefillMs + stepMs * size.outputTokens + crowding) * options.slownessOf(target.id) + STAGE_MS
}

/** Key under which the load of the link between two failure domains is kept. */
export function linkKey (one: string, other: string): string {
  return `link ${one < other ? `${one} ${other}` : `${other} ${one}`}`
}

/** Expected time that a crossing adds to the whole request, or `undefined` when its link is full. */
function crossingMs (from: Target, to: Target, size: RequestSize, options: PathOptions): number | undefined {
  const { model } = options
  const tokenMs = model.activationBytes * MS_PER_BYTE_AT_1_MBPS / model.pipeMbps
  const crossedTokens = options.loadOf(linkKey(from.failureDomain, to.failureDomain)).tokenLayers + size.promptTokens + size.outputTokens
  const use = Math.min(0.95, crossedTokens * tokenMs / LINK_WINDOW_MS)
  if (use > LINK_USE_LIMIT && options.isOvercommitted !== true) return undefined
  const waitMs = use / (1 - use) * Math.min(TRANSFER_TOKENS, model.usualPromptTokens) * tokenMs / 2
  return CROSSING_WEIGHT * size.promptTokens * tokenMs / (1 - use) + (CROSSING_TOKEN_MS + waitMs) * size.outputTokens
}

function unwind (last: Step): Path {
  const path: Path = []
  for (let step: Step | undefined = last; step !== undefined; step = step.previous) path.unshift(step.stage)
  return path
}

function hasRepeatedTarget (path: Path): boolean {
  return new Set(path.map(stage => stage.target.id)).size !== path.length
}
