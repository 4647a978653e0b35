/**
 * Admission control on one entry: account limits first, then the entry's share of the model's
 * throughput bound. A request for which the engines have no capacity yet waits in a weighted fair
 * queue. A request that cannot be answered before its deadline is refused on arrival.
 */
import type { Router, RequestRoute } from '../../route/types.js'
import type { Runtime } from '../../runtime/types.js'
import { createAccountLimits, type LimitGrant } from '../createAccountLimits/index.js'
import { createFairQueue, type FairQueue } from '../createFairQueue/index.js'
import type { Admission, AdmissionRequest, AdmissionResult, EntryRank } from '../types.js'

/** Work that engines may have from this entry at a time, in seconds at this entry's share of the throughput bound. */
const MAX_ENGINE_WORK_S = 4

/** Least work that engines may have from this entry, in tokens, so that an entry with a small share does not stall. */
const MIN_ENGINE_WORK_TOKENS = 512

/** Weight of each new time between tokens in its exponential moving average. */
const STEP_AVERAGE_WEIGHT = 0.002

/** Longest expected wait in the queue, in milliseconds; a request with a longer one is refused, however late its deadline. */
const MAX_QUEUE_WAIT_MS = 3_000

/** Factor on the estimated time of an answer, as some take longer than the average. */
const ESTIMATE_MARGIN = 1.2

/** Maximum number of queued requests of one account and model on one entry. */
const MAX_QUEUED_PER_ACCOUNT = 1_000

/** Least time after which to tell a refused caller to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250

/** What admission depends on. */
export interface AdmissionOptions {
  router: Router
  rank: () => EntryRank
  runtime: Runtime
}

/** A queued request. */
interface QueuedRequest {
  /** Admits the request. */
  start: () => void
}

/**
 * @name createAdmission
 * @summary Creates admission control for one entry.
 * @param options - Router, rank of this entry among all entries, and runtime.
 * @returns The admission.
 *
 * @example
 * const admission = createAdmission({ router, rank, runtime })
 * const result = await admission.admit({ account, model: 'draft', tokens: 64, deadlineMs: 5_000, signal })
 */
export function createAdmission (options: AdmissionOptions): Admission {
  const { router, rank, runtime } = options
  const limits = createAccountLimits({ rank, runtime })
  const queues = new Map<string, FairQueue<QueuedRequest>>()
  /** Average time between tokens by model, in milliseconds. */
  const averageStepsMs = new Map<string, number>()

  function queueOf (model: string): FairQueue<QueuedRequest> {
    const queue = queues.get(model) ?? createFairQueue<QueuedRequest>()
    queues.set(model, queue)
    return queue
  }

  const shareTokensPerS = (model: string): number => router.boundTokensPerS(model) / rank().entries

  /** Whether the engines may get more work from this entry; true without any engine, as the pipeline then refuses the request. */
  function hasCapacity (model: string): boolean {
    const rate = shareTokensPerS(model)
    return rate === 0 || router.outstandingTokens(model) < computeMaxEngineTokens(rate)
  }

  /** Starts queued requests while the engines have capacity. */
  function startQueued (model: string): void {
    const queue = queueOf(model)
    while (queue.size() > 0 && hasCapacity(model)) queue.shift()!.value.start()
  }

  /** Includes one time between tokens in the model's average. */
  function recordStep (model: string, stepMs: number): void {
    const averageMs = averageStepsMs.get(model) ?? stepMs
    averageStepsMs.set(model, averageMs + STEP_AVERAGE_WEIGHT * (stepMs - averageMs))
  }

  /** Begins a route whose tokens and disposal return capacity and start queued requests. */
  function beginRoute (request: AdmissionRequest, grant: LimitGrant): RequestRoute {
    const route = router.begin(request.model, request.tokens)
    let unused = request.tokens
    let isOpen = true
    let lastMs: number | undefined
    return {
      pick: route.pick,
      recordToken () {
        const nowMs = runtime.monotonicMs()
        if (lastMs !== undefined) recordStep(request.model, nowMs - lastMs)
        lastMs = nowMs
        unused -= 1
        route.recordToken()
        startQueued(request.model)
      },
      [Symbol.dispose] () {
        if (!isOpen) return
        isOpen = false
        route[Symbol.dispose]()
        grant.refund(Math.max(0, unused))
        grant[Symbol.dispose]()
        startQueued(request.model)
      }
    }
  }

  /**
   * Estimates the time that a request needs from now. `facts` go into a refusal; `excessMs` is above 0
   * if the request would miss its deadline or wait too long in the queue.
   */
  function estimateTime (request: AdmissionRequest): { facts: Record<string, unknown>, excessMs: number } {
    const { account, model, tokens, deadlineMs } = request
    const tokensPerS = shareTokensPerS(model)
    const outstandingTokens = router.outstandingTokens(model)
    const queuedTokens = queueOf(model).tokensAhead({ account: account.name, tokens, weight: computeWeight(request) })
    const stepMs = averageStepsMs.get(model) ?? 0
    const waitMs = tokensPerS === 0 ? 0 : computeWaitMs(queuedTokens, outstandingTokens, tokensPerS)
    const neededMs = Math.ceil(ESTIMATE_MARGIN * (waitMs + tokens * stepMs))
    const excessMs = Math.ceil(Math.max(neededMs - deadlineMs, waitMs - MAX_QUEUE_WAIT_MS))
    return { facts: { tokensPerS, outstandingTokens, queuedTokens, tokens, stepMs, waitMs, neededMs, deadlineMs }, excessMs }
  }

  /** Queues a request until it is started, its deadline passes or its caller goes away. */
  function enqueue (request: AdmissionRequest, grant: LimitGrant): Promise<AdmissionResult> {
    const { account, model, tokens, deadlineMs, signal } = request
    const queue = queueOf(model)
    const arrivedMs = runtime.monotonicMs()
    return new Promise(resolve => {
      const item = queue.push({ start }, { account: account.name, tokens, weight: computeWeight(request) })
      const timer = runtime.setTimer(deadlineMs, () => refuse('overloaded'))
      const onAbort = (): void => refuse('callerGone')
      signal.addEventListener('abort', onAbort, { once: true })

      function settle (): void {
        timer[Symbol.dispose]()
        signal.removeEventListener('abort', onAbort)
      }

      function start (): void {
        settle()
        resolve({ kind: 'admitted', route: beginRoute(request, grant), waitedMs: runtime.monotonicMs() - arrivedMs })
      }

      function refuse (reason: 'overloaded' | 'callerGone'): void {
        settle()
        queue.remove(item)
        grant.refund(tokens)
        grant[Symbol.dispose]()
        resolve({ kind: 'refused', reason, facts: estimateTime(request).facts, retryAfterMs: MIN_RETRY_AFTER_MS })
      }
    })
  }

  return {
    async admit (request) {
      const { account, model, tokens } = request
      const limit = limits.acquire(account, tokens)
      if (limit.kind === 'refused') {
        const { retryAfterMs, kind, ...facts } = limit
        return { kind, reason: 'accountLimit', facts: { ...facts }, retryAfterMs }
      }
      const { grant } = limit
      const queue = queueOf(model)
      const { facts, excessMs } = estimateTime(request)
      const waiting = queue.sizeOf(account.name)
      if (excessMs > 0 || waiting >= MAX_QUEUED_PER_ACCOUNT) {
        grant.refund(tokens)
        grant[Symbol.dispose]()
        return { kind: 'refused', reason: 'overloaded', facts: { ...facts, waiting }, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, excessMs) }
      }
      if (queue.size() === 0 && hasCapacity(model)) return { kind: 'admitted', route: beginRoute(request, grant), waitedMs: 0 }
      return await enqueue(request, grant)
    }
  }
}

/** Time until the engines have capacity for a request behind the given work, in milliseconds. */
function computeWaitMs (queuedTokens: number, outstandingTokens: number, tokensPerS: number): number {
  const aheadTokens = queuedTokens + outstandingTokens - computeMaxEngineTokens(tokensPerS)
  return Math.max(0, aheadTokens * 1_000 / tokensPerS)
}

/** Work that engines may have from this entry at a time, in tokens. */
function computeMaxEngineTokens (tokensPerS: number): number {
  return Math.max(MIN_ENGINE_WORK_TOKENS, tokensPerS * MAX_ENGINE_WORK_S)
}

/** Weight of an account in the queue: `weight * (priority + 1)`, both as configured. */
function computeWeight ({ account }: AdmissionRequest): number {
  return account.weight * (account.priority + 1)
}
