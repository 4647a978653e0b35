/**
 * Two fleets whose kinds of engines are spread unevenly over the failure domains: one with many
 * engines of middle speed, one with few fast engines and many that hold five layers each.
 */
import type { EngineModel } from '../../src/fleet/types.js'
import { TEST_MODEL, type FleetCounts } from './buildFleet.js'

/** A fleet: its model, and the number of engines of each kind in each failure domain. */
export interface UnevenFleet {
  model: EngineModel
  counts: FleetCounts
}

/** 93 engines, half of them of middle speed, most of these in one failure domain. */
export const MANY_MIDDLE: UnevenFleet = {
  model: {
    ...TEST_MODEL,
    tokenLayerMb: 0.0088,
    stepMs: 1.02,
    activationBytes: 35_000,
    pipeMbps: 9_600,
    usualPromptTokens: 780,
    usualOutputTokens: 210,
    kinds: {
      large: { memoryMb: 72_000, pace: 2.4, prefillFactor: 3.2 },
      middle: { memoryMb: 14_400, pace: 5.3, prefillFactor: 7.9 },
      small: { memoryMb: 21_600, pace: 16, prefillFactor: 8.2 }
    }
  },
  counts: {
    north: { large: 3, middle: 14, small: 16 },
    east: { large: 2, middle: 24, small: 9 },
    south: { large: 4, middle: 10, small: 11 }
  }
}

/** 98 engines, ten of them fast, 44 with memory for few layers. */
export const FEW_FAST: UnevenFleet = {
  model: {
    ...TEST_MODEL,
    tokenLayerMb: 0.007,
    perSequenceMs: 0.0036,
    perContextKMs: 0.0049,
    prefillTokensPerMs: 294,
    activationBytes: 28_000,
    pipeMbps: 3_920
  },
  counts: {
    north: { large: 1, medium: 2, small: 13, tiny: 18 },
    east: { large: 1, medium: 2, small: 20, tiny: 9 },
    south: { medium: 4, small: 11, tiny: 17 }
  }
}
