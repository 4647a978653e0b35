/**
 * The open loop: every request is sent at its intended start, however many are still open.
 */
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { CompletionCall, CompletionOutcome } from '../streamCompletion/index.js'
import type { Arrival, LoadRecord } from '../types.js'

/** State of a running load. */
export interface LoadProgress {
  elapsedMs: number
  started: number
  ended: number
  refused: number
  tokens: number
}

/** What a load runs on. */
export interface RunLoadOptions {
  /** `ip:port` of the caller ports, used in turn. */
  addresses: string[]
  send: (call: CompletionCall) => Promise<CompletionOutcome>
  runtime: Runtime
  onProgress?: (progress: LoadProgress) => void
  /** Ends the sending; requests that are open are still waited for. */
  signal?: AbortSignal
}

/** Wait between two reports of progress. */
const PROGRESS_MS = 1_000

/**
 * @name runLoad
 * @summary Sends every arrival and waits for all answers.
 * @param arrivals - Arrivals in order.
 * @param options - Addresses, sender, runtime and progress.
 * @returns One record for each request that was sent, in order of its intended start.
 *
 * @example
 * const records = await runLoad(arrivals, { addresses: ['127.0.0.1:8080'], send, runtime })
 */
export async function runLoad (arrivals: readonly Arrival[], options: RunLoadOptions): Promise<LoadRecord[]> {
  const { addresses, send, runtime, onProgress, signal } = options
  const startMs = runtime.monotonicMs()
  const elapsedMs = (): number => runtime.monotonicMs() - startMs
  const progress: LoadProgress = { elapsedMs: 0, started: 0, ended: 0, refused: 0, tokens: 0 }
  const open: Array<Promise<LoadRecord>> = []
  const finished = new AbortController()
  const reporting = report()

  async function report (): Promise<void> {
    if (onProgress === undefined) return
    while (!finished.signal.aborted) {
      await sleep(PROGRESS_MS, { runtime, signal: finished.signal })
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
    open.push(sendOne(arrival, index))
  }
  const records = await Promise.all(open)
  finished.abort()
  await reporting
  return records
}
