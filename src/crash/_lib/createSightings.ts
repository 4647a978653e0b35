/**
 * Keeps sightings of crashes, a bounded number of them for each trait and altogether.
 */
import type { CrashSighting } from '../types.js'
import { findLeastUseful } from './findLeastUseful.js'
import { traitKey, type Trait } from './listTraits.js'

/** A sighting with its monotonic times in milliseconds. */
export interface KeptSighting extends Omit<CrashSighting, 'ageMs'> {
  atMs: number
  learnedMs: number
  /** Whether this host sent the request itself. */
  isOwn: boolean
}

/** The sightings that a host keeps. */
export interface Sightings {
  list: () => KeptSighting[]
  /** Sightings of one trait. */
  listOf: (trait: Trait) => KeptSighting[]
  /** Number of engines that ended under one trait. */
  countEngines: (trait: Trait) => number
  /** Adds a sighting; returns whether it is new and there is room for it. */
  add: (sighting: KeptSighting) => boolean
  /** Drops the sightings for which the function returns `true`; returns whether there were any. */
  drop: (isDropped: (sighting: KeptSighting) => boolean) => boolean
  size: () => number
}

/** Bounds of what is kept; callers choose the traits. */
const MAX_SIGHTINGS = 512
const MAX_SIGHTINGS_PER_TRAIT = 16

/** Name of one start of an engine. */
export const engineOf = ({ targetId, bornMs }: Pick<CrashSighting, 'targetId' | 'bornMs'>): string => `${targetId} ${bornMs}`

/** Creates an empty collection. */
export function createSightings (): Sightings {
  /** Sightings by trait, and within one by request and engine. */
  const byTrait = new Map<string, Map<string, KeptSighting>>()
  let size = 0
  const listOf = (trait: Trait): KeptSighting[] => [...byTrait.get(traitKey(trait))?.values() ?? []]

  function remove (traitName: string, name: string): void {
    const kept = byTrait.get(traitName)!
    kept.delete(name)
    if (kept.size === 0) byTrait.delete(traitName)
    size--
  }

  return {
    list: () => [...byTrait.values()].flatMap(kept => [...kept.values()]),
    listOf,
    countEngines: trait => new Set(listOf(trait).map(engineOf)).size,
    size: () => size,
    add (sighting) {
      const traitName = traitKey(sighting)
      const name = `${sighting.request} ${engineOf(sighting)}`
      const kept = byTrait.get(traitName) ?? new Map<string, KeptSighting>()
      if (kept.has(name) || kept.size >= MAX_SIGHTINGS_PER_TRAIT) return false
      byTrait.set(traitName, kept.set(name, sighting))
      size++
      if (size > MAX_SIGHTINGS) remove(...findLeastUseful(byTrait))
      return true
    },
    drop (isDropped) {
      const sizeBefore = size
      for (const [traitName, kept] of byTrait) for (const [name, sighting] of kept) if (isDropped(sighting)) remove(traitName, name)
      return size < sizeBefore
    }
  }
}
