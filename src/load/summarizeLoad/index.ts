/**
 * Computes the figures of a load, with HdrHistograms in microseconds.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { LoadCounts, LoadRecord, LoadSecond, LoadSummary, TimeSummary } from '../types.js'

/** Longest time that a histogram records, in microseconds: one hour. Longer times count as this. */
const MAX_RECORDED_US = 3_600_000_000

const US_PER_MS = 1_000

/**
 * @name summarizeLoad
 * @summary Counts and percentiles of a load, in total, by account and by second.
 * @param records - The requests.
 * @param options - Seed and duration of the load.
 * @returns The figures.
 *
 * @example
 * const summary = summarizeLoad(records, { seed: 1, durationS: mix.durationS })
 */
export function summarizeLoad (records: readonly LoadRecord[], options: { seed: number, durationS: number }): LoadSummary {
  const { seed, durationS } = options
  const reasons: Record<string, number> = {}
  for (const { reason } of records) if (reason !== undefined) reasons[reason] = (reasons[reason] ?? 0) + 1
  const tokensInTime = records.reduce((sum, record) => sum + record.tokenAtMs.filter(atMs => atMs <= durationS * 1_000).length, 0)
  const names = [...new Set(records.map(record => record.arrival.account))].sort()
  return {
    seed,
    durationS,
    tokensPerS: tokensInTime / durationS,
    ...countRequests(records),
    reasons,
    accounts: Object.fromEntries(names.map(name => [name, countRequests(records.filter(record => record.arrival.account === name))])),
    seconds: countSeconds(records, durationS)
  }
}

function countRequests (records: readonly LoadRecord[]): LoadCounts {
  const first = createHistogram()
  const between = createHistogram()
  const answer = createHistogram()
  const refusal = createHistogram()
  for (const { arrival, kind, tokenAtMs, endedMs } of records) {
    if (tokenAtMs.length > 0) recordMs(first, tokenAtMs[0]! - arrival.atMs)
    for (let index = 1; index < tokenAtMs.length; index++) recordMs(between, tokenAtMs[index]! - tokenAtMs[index - 1]!)
    if (kind === 'complete') recordMs(answer, endedMs - arrival.atMs)
    if (kind === 'refused' && tokenAtMs.length === 0) recordMs(refusal, endedMs - arrival.atMs)
  }
  return {
    requests: records.length,
    complete: records.filter(({ kind }) => kind === 'complete').length,
    refused: records.filter(({ kind }) => kind === 'refused').length,
    broken: records.filter(({ kind }) => kind === 'broken').length,
    late: records.filter(isLate).length,
    tokens: records.reduce((sum, { tokenAtMs }) => sum + tokenAtMs.length, 0),
    firstTokenMs: summarize(first),
    betweenTokensMs: summarize(between),
    answerMs: summarize(answer),
    refusalMs: summarize(refusal)
  }
}

function isLate ({ arrival, kind, endedMs }: LoadRecord): boolean {
  return kind === 'complete' && arrival.deadlineMs !== undefined && endedMs - arrival.atMs > arrival.deadlineMs
}

function countSeconds (records: readonly LoadRecord[], durationS: number): LoadSecond[] {
  const firstTokenTimes = Array.from({ length: Math.ceil(durationS) }, createHistogram)
  const seconds = firstTokenTimes.map((_, second) => ({ second, started: 0, tokens: 0, refused: 0, firstTokenP95Ms: 0 }))
  for (const { arrival, kind, tokenAtMs, endedMs } of records) {
    const at = Math.floor(arrival.atMs / 1_000)
    if (seconds[at] !== undefined) seconds[at].started += 1
    if (firstTokenTimes[at] !== undefined && tokenAtMs.length > 0) recordMs(firstTokenTimes[at], tokenAtMs[0]! - arrival.atMs)
    const ended = seconds[Math.floor(endedMs / 1_000)]
    if (kind === 'refused' && ended !== undefined) ended.refused += 1
    for (const atMs of tokenAtMs) {
      const second = seconds[Math.floor(atMs / 1_000)]
      if (second !== undefined) second.tokens += 1
    }
  }
  return seconds.map((second, index) => ({ ...second, firstTokenP95Ms: summarize(firstTokenTimes[index]!).p95 }))
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 'packed', lowestDiscernibleValue: 1, highestTrackableValue: MAX_RECORDED_US, numberOfSignificantValueDigits: 3 })
}

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, Math.round(ms * US_PER_MS))))
}

function summarize (histogram: Histogram): TimeSummary {
  const at = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100
  if (histogram.totalCount === 0) return { p50: 0, p95: 0, p99: 0, max: 0 }
  return { p50: at(50), p95: at(95), p99: at(99), max: at(100) }
}
