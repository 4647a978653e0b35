/**
 * Types of a load: the mix of accounts and lengths, the planned arrivals and the results.
 */
import { z } from 'zod'
import type { CompletionOutcome } from './streamCompletion/index.js'

/** Bounds of a uniformly distributed integer, both inclusive. */
const rangeSchema = z.strictObject({ least: z.int().positive(), most: z.int().positive() })
  .refine(range => range.least <= range.most, 'expected least to be at most most')

/** One kind of request in the mix. */
export const loadPartSchema = z.strictObject({
  account: z.string().min(1),
  /** Bearer token of the account. */
  token: z.string().min(1),
  model: z.string().min(1),
  /** Share of all arrivals, relative to the shares of the other parts. */
  share: z.number().positive(),
  promptWords: rangeSchema,
  answerTokens: rangeSchema,
  /** Deadline of the caller for the complete answer, in milliseconds. */
  deadlineMs: z.int().positive().optional()
})

/** Content of a load file. */
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

/** Result of one request. Times are in milliseconds from the start of the load. */
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

/** Counts and percentiles of a set of requests. */
export interface LoadCounts {
  requests: number
  complete: number
  refused: number
  broken: number
  /** Complete answers that ended after their deadline. */
  late: number
  tokens: number
  /** Time to the first token, from the intended start. */
  firstTokenMs: TimeSummary
  betweenTokensMs: TimeSummary
  /** Time to the end of complete answers, from the intended start. */
  answerMs: TimeSummary
  /** Time to refusals, from the intended start. */
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

/** Figures of a whole load. */
export interface LoadSummary extends LoadCounts {
  seed: number
  durationS: number
  /** Tokens received within `durationS`, divided by it. */
  tokensPerS: number
  /** Number of refusals by the number of their reason. */
  reasons: Record<string, number>
  accounts: Record<string, LoadCounts>
  seconds: LoadSecond[]
}
