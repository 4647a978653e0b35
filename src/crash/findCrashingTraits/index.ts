/**
 * Finds what the requests that crash engines have in common. It is meant for two load patterns: one
 * request comes again and again, and requests that share one part of their prompts are otherwise
 * all different. Either ends each engine that begins to run it, while sound requests run on the
 * same engines and share their other parts.
 *
 * Any request that had just begun on an engine that ended may be the cause, so one crash proves
 * nothing. Crashes under repeats of one request speak against that request and not against the
 * parts that it shares with others. The part with the most crashes explains them, and only what
 * remains counts for other parts and for whole requests. While another part may explain the same
 * crashes, more of them are needed; then the rarest is taken, and if it is the wrong one, the next
 * crash gives another part the most. Parts that only ever occurred together cannot be told apart:
 * they count together, and a request with one of them alone is not affected.
 *
 * Several parts may crash engines at once. What their requests share, mostly the first parts of
 * prompts, then has more crashes than any of them. As long as a few parts further back may explain
 * the crashes of a part, only the combinations that have crashed engines are held back: a request
 * with the shared part and another one shows by its answer, or by one more crash, which it is.
 */
import { findCover } from '../_lib/findCover.js'
import { engineOf } from '../_lib/createSightings.js'
import { isWholeRequest, traitKey } from '../_lib/listTraits.js'
import type { CrashingTraits, CrashSighting } from '../types.js'

/** Least number of crashes, and for a part of different requests, that show the cause. */
const MIN_CRASHES = 3
const MIN_REQUESTS = 2

/** Number of crashes that shows that a part is the cause even if another part may explain them. */
const CERTAIN_CRASHES = 5

/** Most parts that are thought to crash engines at once; if more were needed to explain crashes, what their prompts share is the cause. */
const MAX_SEPARATE_CAUSES = 2

/** Crashes for each part, except one, that must be explained by others for a verdict to be in doubt: a part that crashes engines mostly comes with another part each time. */
const CRASHES_PER_CAUSE = 2

type Sighting = Pick<CrashSighting, 'service' | 'part' | 'request' | 'targetId' | 'bornMs' | 'position'>

interface Suspect {
  service: string
  part: string
  engines: Set<string>
  /** Engines that ended under each request. */
  enginesByRequest: Map<string, Set<string>>
  /** Least index in the prompts; `undefined` if some are not known. */
  position: number | undefined
  sightings: number
}

/**
 * @name findCrashingTraits
 * @summary Finds the requests and the parts of prompts that explain crashes of engines.
 * @param sightings - What is known of crashes, without traits that were answered since.
 * @returns The parts and the whole requests that crash engines.
 *
 * @example
 * findCrashingTraits(sightings).map(({ parts }) => parts)
 */
export function findCrashingTraits (sightings: Iterable<Sighting>): CrashingTraits[] {
  const suspects = collectSuspects(sightings)
  const explained = new Set<string>()
  const parts = findCrashingParts(suspects.filter(suspect => !isWholeRequest(suspect)), explained)
  return [...parts, ...findCrashingRequests(suspects.filter(isWholeRequest), explained)]
}

function collectSuspects (sightings: Iterable<Sighting>): Suspect[] {
  const suspects = new Map<string, Suspect>()
  for (const sighting of sightings) {
    const { service, part, request, position } = sighting
    const suspect = suspects.get(traitKey(sighting)) ?? { service, part, engines: new Set(), enginesByRequest: new Map(), position, sightings: 0 }
    suspects.set(traitKey(sighting), suspect)
    const engine = engineOf(sighting)
    suspect.engines.add(engine)
    suspect.enginesByRequest.set(request, (suspect.enginesByRequest.get(request) ?? new Set()).add(engine))
    suspect.position = position === undefined || suspect.position === undefined ? undefined : Math.min(position, suspect.position)
    suspect.sightings++
  }
  return [...suspects.values()]
}

/** Finds parts of prompts, and adds the engines whose end they explain to `explained`. */
function findCrashingParts (suspects: readonly Suspect[], explained: Set<string>): CrashingTraits[] {
  const found: CrashingTraits[] = []
  const combinations: CrashingTraits[] = []
  const ambiguous: Suspect[][] = []
  const groups = groupBySameEvidence(suspects)
  for (const group of groups) {
    const { service, engines, enginesByRequest } = group[0]!
    const unexplained = [...engines].filter(engine => !explained.has(engine))
    const crashes = countDistinctCrashes(unexplained, [...enginesByRequest.values()])
    if (enginesByRequest.size < MIN_REQUESTS || crashes < MIN_CRASHES) continue
    const behind = groups.filter(other => other[0]!.service === service && isBehind(other, group))
    const ownCauses = findCover(unexplained, behind, other => listCommonEngines(group, other), MAX_SEPARATE_CAUSES)
    if (ownCauses !== undefined) {
      ambiguous.push(group)
      combinations.push(...ownCauses.map(cause => combine(group, cause)))
      continue
    }
    const hasRival = (): boolean =>
      groups.some(other => other !== group && unexplained.every(engine => other[0]!.engines.has(engine))) ||
      findCover(unexplained, behind, other => other[0]!.engines, MAX_SEPARATE_CAUSES) !== undefined ||
      findCover(unexplained, ambiguous, other => listCommonEngines(group, other), MAX_SEPARATE_CAUSES) !== undefined
    if (crashes < CERTAIN_CRASHES && hasRival()) continue
    for (const engine of engines) explained.add(engine)
    const isAmbiguous = findCover(unexplained, groups.filter(other => other !== group), other => other[0]!.engines, (crashes + 1) / CRASHES_PER_CAUSE) !== undefined
    found.push({ service, parts: group.map(({ part }) => part), crashes: engines.size, requests: enginesByRequest.size, isAmbiguous })
  }
  const isRedundant = ({ service, parts }: CrashingTraits): boolean => found.some(other => other.service === service && other.parts.every(part => parts.includes(part)))
  return [...found, ...combinations.filter(combination => !isRedundant(combination))]
}

/** Whether parts stand further back in prompts than others, and so are shared by fewer. */
function isBehind ([one]: readonly Suspect[], [other]: readonly Suspect[]): boolean {
  return one!.position !== undefined && other!.position !== undefined && one!.position > other!.position
}

/** Engines that ended under a request with the parts of both groups. */
function listCommonEngines ([one]: readonly Suspect[], [other]: readonly Suspect[]): Set<string> {
  return new Set([...one!.enginesByRequest].flatMap(([request, engines]) => {
    const otherEngines = other!.enginesByRequest.get(request)
    return otherEngines === undefined ? [] : [...engines].filter(engine => otherEngines.has(engine))
  }))
}

/** The parts of two groups together. */
function combine (one: readonly Suspect[], other: readonly Suspect[]): CrashingTraits {
  const requests = [...one[0]!.enginesByRequest.keys()].filter(request => other[0]!.enginesByRequest.has(request))
  return { service: one[0]!.service, parts: [...one, ...other].map(({ part }) => part).sort(), crashes: listCommonEngines(one, other).size, requests: requests.length, isAmbiguous: false }
}

/** Number of crashes that speak against a part; those that a single request explains count as one. */
function countDistinctCrashes (engines: readonly string[], enginesOfRequests: ReadonlyArray<ReadonlySet<string>>): number {
  const ofRepeats = enginesOfRequests.map(ended => engines.filter(engine => ended.has(engine))).filter(ended => ended.length >= MIN_CRASHES)
  const endedByRepeats = new Set(ofRepeats.flat())
  const separate = engines.filter(engine => !endedByRepeats.has(engine)).length
  return separate + (endedByRepeats.size > 0 ? 1 : 0)
}

/** Finds whole requests. All that were on the same engines are taken, since waiting to tell them apart would cost more of these. */
function findCrashingRequests (suspects: readonly Suspect[], explained: ReadonlySet<string>): CrashingTraits[] {
  const remaining = suspects.map(({ part, engines }) => ({ part, engines: [...engines].filter(engine => !explained.has(engine)) })).filter(({ engines }) => engines.length >= MIN_CRASHES)
  const isExplained = (engines: readonly string[]): boolean =>
    remaining.some(other => other.engines.length > engines.length && engines.every(engine => other.engines.includes(engine)))
  return remaining.filter(({ engines }) => !isExplained(engines)).map(({ part, engines }) => ({ service: '', parts: [part], crashes: engines.length, requests: 1, isAmbiguous: false }))
}

/** Suspects with the same crashes and requests together, in an order on which all hosts agree: most crashes first, then the rarest. */
function groupBySameEvidence (suspects: readonly Suspect[]): Suspect[][] {
  const groups = new Map<string, Suspect[]>()
  for (const suspect of suspects) {
    const key = JSON.stringify([suspect.service, [...suspect.engines].sort(), [...suspect.enginesByRequest.keys()].sort()])
    groups.set(key, [...groups.get(key) ?? [], suspect])
  }
  for (const group of groups.values()) group.sort((one, other) => one.part < other.part ? -1 : 1)
  return [...groups.values()].sort(([one], [other]) =>
    other!.engines.size - one!.engines.size || one!.sightings - other!.sightings || (one!.part < other!.part ? -1 : 1))
}
