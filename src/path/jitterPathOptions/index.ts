/**
 * Adds random jitter to the choice of a path, so that hosts with the same outdated load do not
 * all choose the same one. Otherwise dozens of hosts learn at about the same time that one path
 * is the best and all send to it before any of them hears of the others' requests: its engines
 * fill up and refuse, then all hosts leave it at once.
 */
import { CACHE_SHARE } from '../_lib/stageCost.js'
import type { PathOptions } from '../choosePath/index.js'

/** How a choice is varied. */
export interface JitterOptions {
  /** Mean age of the known load of other hosts, in milliseconds. */
  loadAgeMs: number
  /** Draws a number from 0 to below 1. */
  random: () => number
}

/** Age of the load from which the jitter is at its largest, in milliseconds; requests last a few times as long. */
const FULL_JITTER_AGE_MS = 400

/** Largest share of an engine's cache that is left free for other hosts; what dozens of hosts send within `FULL_JITTER_AGE_MS` fills most of a fast engine. */
const MAX_RESERVE_SHARE = 0.8

/** Largest surcharge on an engine, as a share of its expected time; load makes engines of one kind differ by about as much. */
const MAX_SURCHARGE_SHARE = 0.3

/**
 * @name jitterPathOptions
 * @summary Randomizes the options of one choice of a path, the more the older the known load is.
 * @param slownessOf - Factor on the expected time of an engine.
 * @param options - Age of the load and a source of random numbers.
 * @returns Options with one random cache reserve for all engines and a random surcharge on each.
 *
 * @example
 * choosePath(engines, size, { model, loadOf, ...jitterPathOptions(slownessOf, { loadAgeMs: 400, random }) })
 */
export function jitterPathOptions (slownessOf: PathOptions['slownessOf'], options: JitterOptions): Required<Pick<PathOptions, 'cacheShare' | 'slownessOf'>> {
  const { loadAgeMs, random } = options
  const strength = Math.min(1, loadAgeMs / FULL_JITTER_AGE_MS)
  const surcharges = new Map<string, number>()
  const surchargeOf = (targetId: string): number => {
    const known = surcharges.get(targetId) ?? random() * strength * MAX_SURCHARGE_SHARE
    surcharges.set(targetId, known)
    return known
  }
  return {
    cacheShare: CACHE_SHARE - random() * strength * MAX_RESERVE_SHARE,
    slownessOf: targetId => slownessOf(targetId) * (1 + surchargeOf(targetId))
  }
}
