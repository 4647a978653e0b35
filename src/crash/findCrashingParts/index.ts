/**
 * Finds the parts of prompts that crash engines. It is meant for the load pattern in which requests
 * that share one part, and are otherwise all different, end each engine that begins to answer
 * them, while sound requests run on the same engines and share their other parts.
 *
 * Any request that had just begun on an engine that ended may be the cause, so one crash proves
 * nothing. The part with the most crashes explains them, and only what remains counts for other
 * parts. While another part may explain the same crashes, more of them are needed; then the rarest
 * is taken, and if it is the wrong one, the next crash gives another part the most. Parts that only ever occurred together cannot be told apart: they
 * count together, and a request with one of them alone is not affected.
 */
import type { CrashingParts, CrashSighting } from '../types.js'

/** Least number of crashes and of different requests that show the cause. */
const MIN_CRASHES = 3
const MIN_REQUESTS = 2

/** Number of crashes that shows the cause even if all came from repeats of one request, or another part may explain them. */
const CERTAIN_CRASHES = 5

interface Suspect {
  service: string
  part: string
  engines: Set<string>
  requests: Set<string>
  sightings: number
}

/**
 * @name findCrashingParts
 * @summary Finds the parts that explain crashes of engines.
 * @param sightings - What is known of crashes, without parts that were answered since.
 * @returns The parts that crash engines.
 *
 * @example
 * findCrashingParts(sightings).map(({ parts }) => parts)
 */
export function findCrashingParts (sightings: Iterable<Pick<CrashSighting, 'service' | 'part' | 'request' | 'targetId' | 'bornMs'>>): CrashingParts[] {
  const suspects = new Map<string, Suspect>()
  for (const { service, part, request, targetId, bornMs } of sightings) {
    const key = JSON.stringify([service, part])
    const suspect = suspects.get(key) ?? { service, part, engines: new Set(), requests: new Set(), sightings: 0 }
    suspects.set(key, suspect)
    suspect.engines.add(`${targetId} ${bornMs}`)
    suspect.requests.add(request)
    suspect.sightings++
  }
  const found: CrashingParts[] = []
  const explained = new Set<string>()
  const groups = groupBySameEvidence([...suspects.values()])
  for (const group of groups) {
    const { service, engines, requests } = group[0]!
    const unexplained = [...engines].filter(engine => !explained.has(engine))
    const hasRival = (): boolean => groups.some(other => other !== group && unexplained.every(engine => other[0]!.engines.has(engine)))
    const isShown = unexplained.length >= CERTAIN_CRASHES || (unexplained.length >= MIN_CRASHES && requests.size >= MIN_REQUESTS && !hasRival())
    if (!isShown) continue
    for (const engine of engines) explained.add(engine)
    found.push({ service, parts: group.map(({ part }) => part), crashes: engines.size, requests: requests.size })
  }
  return found
}

/** Suspects with the same crashes and requests together, in an order on which all hosts agree: most crashes first, then the rarest. */
function groupBySameEvidence (suspects: readonly Suspect[]): Suspect[][] {
  const groups = new Map<string, Suspect[]>()
  for (const suspect of suspects) {
    const key = JSON.stringify([suspect.service, [...suspect.engines].sort(), [...suspect.requests].sort()])
    groups.set(key, [...groups.get(key) ?? [], suspect])
  }
  for (const group of groups.values()) group.sort((one, other) => one.part < other.part ? -1 : 1)
  return [...groups.values()].sort(([one], [other]) =>
    other!.engines.size - one!.engines.size || one!.sightings - other!.sightings || (one!.part < other!.part ? -1 : 1))
}
