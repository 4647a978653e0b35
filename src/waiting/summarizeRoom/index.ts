/**
 * Adds up what hosts tell of their queues. It is meant for the load pattern in which each of many
 * hosts has a few requests waiting: none of them sees an overload in its own queue.
 */
import type { QueueView, RankFigures } from '../types.js'

/** Largest sum that is believed; higher ones are clamped to it. */
const MAX_FIGURE = 100_000

/** What a host knows beside the sums. */
export interface RoomFacts {
  freePlaces: number
  totalPlaces: number
  /** Mean age of what is known of other hosts, in milliseconds. */
  ageMs: number
  /** Number of hosts, this one included. */
  hostCount: number
  /** Whether no other host is heard although there were some lately. */
  isCutOff: boolean
}

/**
 * @name summarizeRoom
 * @summary Summarizes the room and the queues of a service.
 * @param figures - Sums over all hosts that are heard, this one included, by rank.
 * @param facts - Room of the targets, number of hosts, and age of the sums.
 * @returns The view; its age is infinite for a host that is cut off.
 *
 * @example
 * summarizeRoom([{ rank: 1, waiting: 12, waitingHosts: 5, promised: 0, arrivalsPerS: 150, placesPerS: 120 }], facts).room.placesPerS // => 120
 */
export function summarizeRoom (figures: readonly RankFigures[], { freePlaces, totalPlaces, ageMs, hostCount, isCutOff }: RoomFacts): QueueView {
  const ranks = figures.map(clampFigures).sort((a, b) => a.rank - b.rank)
  return {
    room: {
      freePlaces,
      totalPlaces,
      placesPerS: ranks.reduce((sum, { placesPerS }) => sum + placesPerS, 0),
      waitingByRank: new Map(ranks.map(({ rank, waiting }) => [rank, waiting])),
      ageMs: isCutOff ? Infinity : ageMs,
      hostCount
    },
    ranks
  }
}

function clampFigures ({ rank, ...figures }: RankFigures): RankFigures {
  const clamp = (value: number): number => Number.isFinite(value) ? Math.min(MAX_FIGURE, Math.max(0, value)) : 0
  return {
    rank,
    waiting: clamp(figures.waiting),
    waitingHosts: clamp(figures.waitingHosts),
    promised: clamp(figures.promised),
    arrivalsPerS: clamp(figures.arrivalsPerS),
    placesPerS: clamp(figures.placesPerS)
  }
}
