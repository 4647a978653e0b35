/**
 * Admission of requests on one entry: account limits first, then the entry's part of the
 * model's throughput bound. What the engines cannot take yet waits in a weighted fair queue;
 * what cannot be answered before its deadline is refused on arrival.
 */
import type { Router, RequestRoute } from '../../route/types.js'
import type { Runtime } from '../../runtime/types.js'
import { createAccountLimits, type TakenLimit } from '../createAccountLimits/index.js'
import { createFairQueue, type FairQueue } from '../createFairQueue/index.js'
import type { Admission, AdmissionRequest, AdmissionResult, EntryRank } from '../types.js'

/** Work that is handed to engines, in seconds of this entry's part of the bound. */
const WINDOW_S = 4

/** Least work that is handed to engines, in tokens, so that a small part does not stall. */
const LEAST_WINDOW_TOKENS = 512

/** Part of each new time between tokens in the running mean. */
const STEP_MEAN_PART = 0.002

/** Longest wait that a request is let into the queue for, however late its deadline. */
const LONGEST_WAIT_MS = 3_000

/** Allowance for answers that take longer than the mean says. */
const ESTIMATE_MARGIN = 1.2

/** Requests of one account that may wait on one entry. */
const MAX_WAITING_OF_ACCOUNT = 1_000

/** Least time after which a refused caller should come back. */
const LEAST_RETRY_MS = 250

/** What admission works with. */
export interface AdmissionOptions {
  router: Router
  rank: () => EntryRank
  runtime: Runtime
}

/** A request in the queue. */
interface Waiting {
  start: () => void
}

/**
 * @name createAdmission
 * @summary Admission on one entry.
 * @param options - Router, rank among the entries, and runtime.
 * @returns The admission.
 *
 * @example
 * const admission = createAdmission({ router, rank, runtime })
 * const result = await admission.admit({ account, model: 'draft', tokens: 64, deadlineMs: 5_000, signal })
 */
export function createAdmission (options: AdmissionOptions): Admission {
  const { router, rank, runtime } = options
  const limits = createAccountLimits({ rank, runtime })
  const queues = new Map<string, FairQueue<Waiting>>()
  const stepsMs = new Map<string, number>()

  function queueOf (model: string): FairQueue<Waiting> {
    const queue = queues.get(model) ?? createFairQueue<Waiting>()
    queues.set(model, queue)
    return queue
  }

  const rateOf = (model: string): number => router.boundTokensPerS(model) / rank().entries

  /** Whether the engines can take more from this entry; without any engine the pipeline refuses. */
  function hasRoom (model: string): boolean {
    const rate = rateOf(model)
    return rate === 0 || router.outstandingTokens(model) < computeWindow(rate)
  }

  function pump (model: string): void {
    const queue = queueOf(model)
    while (queue.size() > 0 && hasRoom(model)) queue.shift()!.value.start()
  }

  /** Takes one time between tokens into the model's running mean. */
  function noteStep (model: string, stepMs: number): void {
    const meanMs = stepsMs.get(model) ?? stepMs
    stepsMs.set(model, meanMs + STEP_MEAN_PART * (stepMs - meanMs))
  }

  /** A route that frees what the request holds and lets the next one start. */
  function begin (request: AdmissionRequest, taken: TakenLimit): RequestRoute {
    const route = router.begin(request.model, request.tokens)
    let unused = request.tokens
    let isOpen = true
    let lastMs: number | undefined
    return {
      pick: route.pick,
      recordToken () {
        const nowMs = runtime.monotonicMs()
        if (lastMs !== undefined) noteStep(request.model, nowMs - lastMs)
        lastMs = nowMs
        unused -= 1
        route.recordToken()
        pump(request.model)
      },
      [Symbol.dispose] () {
        if (!isOpen) return
        isOpen = false
        route[Symbol.dispose]()
        taken.refund(Math.max(0, unused))
        taken[Symbol.dispose]()
        pump(request.model)
      }
    }
  }

  function describeLoad (request: AdmissionRequest): { facts: Record<string, unknown>, lateMs: number } {
    const { account, model, tokens, deadlineMs } = request
    const tokensPerS = rateOf(model)
    const outstandingTokens = router.outstandingTokens(model)
    const queuedTokens = queueOf(model).tokensAhead({ account: account.name, tokens, weight: computeWeight(request) })
    const stepMs = stepsMs.get(model) ?? 0
    const waitMs = tokensPerS === 0 ? 0 : computeWaitMs(queuedTokens, outstandingTokens, tokensPerS)
    const neededMs = Math.ceil(ESTIMATE_MARGIN * (waitMs + tokens * stepMs))
    const lateMs = Math.ceil(Math.max(neededMs - deadlineMs, waitMs - LONGEST_WAIT_MS))
    return { facts: { tokensPerS, outstandingTokens, queuedTokens, tokens, stepMs, waitMs, neededMs, deadlineMs }, lateMs }
  }

  function wait (request: AdmissionRequest, taken: TakenLimit): Promise<AdmissionResult> {
    const { account, model, tokens, deadlineMs, signal } = request
    const queue = queueOf(model)
    const arrivedMs = runtime.monotonicMs()
    return new Promise(resolve => {
      const item = queue.push({ start }, { account: account.name, tokens, weight: computeWeight(request) })
      const timer = runtime.setTimer(deadlineMs, () => leave('overloaded'))
      const onAbort = (): void => leave('callerGone')
      signal.addEventListener('abort', onAbort, { once: true })

      function settle (): void {
        timer[Symbol.dispose]()
        signal.removeEventListener('abort', onAbort)
      }

      function start (): void {
        settle()
        resolve({ kind: 'admitted', route: begin(request, taken), waitedMs: runtime.monotonicMs() - arrivedMs })
      }

      function leave (reason: 'overloaded' | 'callerGone'): void {
        settle()
        queue.remove(item)
        taken.refund(tokens)
        taken[Symbol.dispose]()
        resolve({ kind: 'refused', reason, facts: describeLoad(request).facts, retryAfterMs: LEAST_RETRY_MS })
      }
    })
  }

  return {
    async admit (request) {
      const { account, model, tokens } = request
      const limit = limits.take(account, tokens)
      if (limit.kind === 'refused') {
        const { retryAfterMs, kind, ...facts } = limit
        return { kind, reason: 'accountLimit', facts: { ...facts }, retryAfterMs }
      }
      const { taken } = limit
      const queue = queueOf(model)
      const { facts, lateMs } = describeLoad(request)
      const waiting = queue.sizeOf(account.name)
      if (lateMs > 0 || waiting >= MAX_WAITING_OF_ACCOUNT) {
        taken.refund(tokens)
        taken[Symbol.dispose]()
        return { kind: 'refused', reason: 'overloaded', facts: { ...facts, waiting }, retryAfterMs: Math.max(LEAST_RETRY_MS, lateMs) }
      }
      if (queue.size() === 0 && hasRoom(model)) return { kind: 'admitted', route: begin(request, taken), waitedMs: 0 }
      return await wait(request, taken)
    }
  }
}

/** Time until the engines have room, when what is queued ahead goes first. */
function computeWaitMs (queuedTokens: number, outstandingTokens: number, tokensPerS: number): number {
  const aheadTokens = queuedTokens + outstandingTokens - computeWindow(tokensPerS)
  return Math.max(0, aheadTokens * 1_000 / tokensPerS)
}

/** Work that engines may have from this entry, in tokens. */
function computeWindow (tokensPerS: number): number {
  return Math.max(LEAST_WINDOW_TOKENS, tokensPerS * WINDOW_S)
}

/** Weight of an account in the queue: its own, raised by its priority. */
function computeWeight ({ account }: AdmissionRequest): number {
  return account.weight * (account.priority + 1)
}
