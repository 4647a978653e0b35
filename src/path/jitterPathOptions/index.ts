/**
 * Makes hosts that know the same old load choose differently. Answers the load pattern in which
 * dozens of hosts learn at about the same time that one path is the best and all send to it
 * before any of them hears of the others' requests: the path overflows and its engines refuse,
 * then all hosts leave it at once.
 */
import { CACHE_SHARE } from '../_lib/stageCost.js'
import type { PathOptions } from '../choosePath/index.js'

/** How a choice is varied. */
export interface JitterOptions {
  /** Mean age of what is known of the other hosts' load, in milliseconds. */
  loadAgeMs: number
  /** Draws a number from 0 to below 1. */
  random: () => number
}

/** Age of the load from which choices vary the most, in milliseconds; requests last a few times as long. */
const FULL_SPREAD_MS = 400

/** Largest part of an engine's cache that a request leaves for others; what dozens of hosts send within that age fills most of a fast engine. */
const LARGEST_RESERVE = 0.8

/** Largest surcharge on an engine, as a share of its expected time; engines of one kind differ by about as much with their load. */
const LARGEST_SURCHARGE = 0.3

/**
 * @name jitterPathOptions
 * @summary Options of one choice, varied at random by how old the known load is.
 * @param slownessOf - Factor on the expected time of an engine.
 * @param options - Age of the load and a source of random numbers.
 * @returns Options that leave a random reserve on every engine and add a random surcharge to each.
 *
 * @example
 * choosePath(engines, size, { model, loadOf, ...jitterPathOptions(slownessOf, { loadAgeMs: 400, random }) })
 */
export function jitterPathOptions (slownessOf: PathOptions['slownessOf'], options: JitterOptions): Required<Pick<PathOptions, 'cacheShare' | 'slownessOf'>> {
  const { loadAgeMs, random } = options
  const spread = Math.min(1, loadAgeMs / FULL_SPREAD_MS)
  const surcharges = new Map<string, number>()
  const surchargeOf = (targetId: string): number => {
    const known = surcharges.get(targetId) ?? random() * spread * LARGEST_SURCHARGE
    surcharges.set(targetId, known)
    return known
  }
  return {
    cacheShare: CACHE_SHARE - random() * spread * LARGEST_RESERVE,
    slownessOf: targetId => slownessOf(targetId) * (1 + surchargeOf(targetId))
  }
}
