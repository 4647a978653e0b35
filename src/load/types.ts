/**
 * Loads: the mix of accounts and lengths, the planned arrivals, and what was measured.
 */
import { z } from 'zod'
import type { CompletionOutcome } from './streamCompletion/index.js'

/** Bounds of a uniform draw, both inclusive. */
const rangeSchema = z.strictObject({ least: z.int().positive(), most: z.int().positive() })
  .refine(range => range.least <= range.most, 'expected least to be at most most')

/** Requests of one kind. */
export const loadPartSchema = z.strictObject({
  account: z.string().min(1),
  /** Bearer token of the account. */
  token: z.string().min(1),
  model: z.string().min(1),
  /** Part of all arrivals, relative to the other parts. */
  share: z.number().positive(),
  promptWords: rangeSchema,
  answerTokens: rangeSchema,
  /** Time for the whole answer that the caller grants. */
  deadlineMs: z.int().positive().optional()
})

/** A load file. */
export const loadMixSchema = z.strictObject({
  requestsPerS: z.number().positive(),
  durationS: z.number().positive(),
  parts: z.array(loadPartSchema).min(1)
})

export type LoadPart = z.infer<typeof loadPartSchema>
export type LoadMix = z.infer<typeof loadMixSchema>

/** One planned request. */
export interface Arrival {
  /** Intended start, in milliseconds from the start of the load. */
  atMs: number
  account: string
  token: string
  model: string
  prompt: string
  answerTokens: number
  deadlineMs?: number
}

/** One request as it went. Times are in milliseconds from the start of the load. */
export interface LoadRecord {
  arrival: Arrival
  kind: CompletionOutcome['kind']
  reason?: number
  tokenAtMs: number[]
  endedMs: number
}

/** Percentiles of a time, in milliseconds. */
export interface TimeSummary {
  p50: number
  p95: number
  p99: number
  max: number
}

/** What a set of requests came to. */
export interface LoadCounts {
  requests: number
  complete: number
  refused: number
  broken: number
  /** Answers that ended after their deadline. */
  late: number
  tokens: number
  /** From the intended start. */
  firstTokenMs: TimeSummary
  betweenTokensMs: TimeSummary
  /** Whole answers, from the intended start. */
  answerMs: TimeSummary
  /** Refusals, from the intended start. */
  refusalMs: TimeSummary
}

/** One second of a load. */
export interface LoadSecond {
  second: number
  started: number
  tokens: number
  refused: number
  firstTokenP95Ms: number
}

/** What a load came to. */
export interface LoadSummary extends LoadCounts {
  seed: number
  durationS: number
  /** Over the time in which requests arrived. */
  tokensPerS: number
  /** Refusals by number of reason. */
  reasons: Record<string, number>
  accounts: Record<string, LoadCounts>
  seconds: LoadSecond[]
}
