/**
 * Open-loop load generator: every request is sent at its intended start, however many are still in
 * flight.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { CompletionCall, CompletionOutcome } from '../streamCompletion/index.js'
import type { Arrival, LoadRecord } from '../types.js'

/** Counts of a running load so far. */
export interface LoadProgress {
  elapsedMs: number
  started: number
  ended: number
  refused: number
  tokens: number
}

/** Options of `runLoad`. */
export interface RunLoadOptions {
  /** Caller ports as `ip:port`, used in turn. */
  addresses: string[]
  send: (call: CompletionCall) => Promise<CompletionOutcome>
  runtime: Runtime
  onProgress?: (progress: LoadProgress) => void
  /** Stops sending; requests in flight are still awaited. */
  signal?: AbortSignal
}

/** Interval between reports of progress, in milliseconds. */
const PROGRESS_INTERVAL_MS = 1_000

/**
 * @name runLoad
 * @summary Sends every arrival and waits for all answers.
 * @param arrivals - Arrivals in order.
 * @param options - Addresses, sender, runtime and progress.
 * @returns One record for each request sent, in the order of their intended starts.
 *
 * @example
 * const records = await runLoad(arrivals, { addresses: ['127.0.0.1:8080'], send, runtime })
 */
export async function runLoad (arrivals: readonly Arrival[], options: RunLoadOptions): Promise<LoadRecord[]> {
  const { addresses, send, runtime, onProgress, signal } = options
  const startMs = runtime.monotonicMs()
  const elapsedMs = (): number => runtime.monotonicMs() - startMs
  const progress: LoadProgress = { elapsedMs: 0, started: 0, ended: 0, refused: 0, tokens: 0 }
  const sentRequests: Array<Promise<LoadRecord>> = []
  const allAnswered = new AbortController()
  const progressReports = reportProgress()

  async function reportProgress (): Promise<void> {
    if (onProgress === undefined) return
    while (!allAnswered.signal.aborted) {
      await sleep(PROGRESS_INTERVAL_MS, { runtime, signal: allAnswered.signal })
      onProgress({ ...progress, elapsedMs: elapsedMs() })
    }
  }

  async function sendOne (arrival: Arrival, index: number): Promise<LoadRecord> {
    const { token, model, prompt, answerTokens, deadlineMs } = arrival
    const address = addresses[index % addresses.length]!
    progress.started += 1
    const outcome = await send({ address, token, model, prompt, maxTokens: answerTokens, ...(deadlineMs === undefined ? {} : { deadlineMs }) })
    progress.ended += 1
    progress.tokens += outcome.tokens.length
    if (outcome.kind === 'refused') progress.refused += 1
    return {
      arrival,
      kind: outcome.kind,
      tokenAtMs: outcome.tokenAtMs.map(atMs => atMs - startMs),
      endedMs: elapsedMs(),
      ...(outcome.problem === undefined ? {} : { reason: outcome.problem.reason })
    }
  }

  for (const [index, arrival] of arrivals.entries()) {
    const waitMs = arrival.atMs - elapsedMs()
    if (waitMs > 0) await sleep(waitMs, { runtime, ...(signal === undefined ? {} : { signal }) })
    if (signal?.aborted) break
    sentRequests.push(sendOne(arrival, index))
  }
  const records = await Promise.all(sentRequests)
  allAnswered.abort()
  await progressReports
  return records
}
