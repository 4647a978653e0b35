/**
 * Routes the requests of one process. Flow shares of each model are recomputed in the background
 * when configuration or targets change; the load that the process's own requests put on each
 * target is tracked as they run.
 */
import type { Stream } from 'most'
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { TargetDirectory } from '../../target/types.js'
import { createSlowStart } from '../_lib/createSlowStart.js'
import { computeFlowShares } from '../computeFlowShares/index.js'
import { createPolicy } from '../createPolicy/index.js'
import type { FlowShares, LoadView, Policy, PolicyName, RequestRoute, Router } from '../types.js'

/** Interval at which changes are looked for, so that those within it cause one computation. */
const DEBOUNCE_MS = 50

/** Time after which the shares are recomputed without a known change, because suspicions expire without notice. */
const REFRESH_MS = 1_000

/** Shares of a model that is not in force. */
const NO_SHARES: FlowShares = { boundTokensPerS: 0, tokensPerS: new Map() }

/** Dependencies of a router. */
export interface RouterOptions {
  policy: PolicyName
  holder: ConfigurationHolder
  directory: TargetDirectory
  runtime: Runtime
  log: EventLog
  /** Called with the throughput bound of each model after each computation. */
  onBound?: (model: string, boundTokensPerS: number) => void
}

/** Load that the requests of this process put on one target. */
interface TargetLoad {
  inFlight: number
  outstandingTokens: number
}

/**
 * @name createRouter
 * @summary Creates the router of one process.
 * @param options - Policy, configuration, targets, runtime and log.
 * @returns The router; shares are computed on first use and refreshed by `follow`.
 *
 * @example
 * const router = createRouter({ policy: 'flowShare', holder, directory, runtime, log })
 * using route = router.begin('draft', 128)
 */
export function createRouter (options: RouterOptions): Router {
  const { holder, directory, runtime, log } = options
  const loads = new Map<string, TargetLoad>()
  const outstandingByModel = new Map<string, number>()
  const policies = new Map<string, Policy>()
  const slowStart = createSlowStart({ runtime })
  let shares = new Map<string, FlowShares>()
  let isOutdated = true

  function recompute (): void {
    isOutdated = false
    const configuration = holder.current()
    const next = new Map<string, FlowShares>()
    const isUsable = (target: string): boolean => directory.condition(target) === 'usable'
    slowStart.update(new Set([...configuration.targets.keys()].filter(isUsable)))
    for (const [name, model] of configuration.models) {
      next.set(name, computeFlowShares({ model, targets: configuration.targets, isUsable }))
    }
    for (const [model, { boundTokensPerS }] of next) {
      options.onBound?.(model, boundTokensPerS)
      if (shares.get(model)?.boundTokensPerS !== boundTokensPerS) log.emit('boundChanged', { model, boundTokensPerS })
    }
    shares = next
  }

  function getShares (model: string): FlowShares {
    if (!shares.has(model)) recompute()
    return shares.get(model) ?? NO_SHARES
  }

  function createLoadView (model: string): LoadView {
    return {
      inFlight: target => loads.get(target)?.inFlight ?? 0,
      outstandingTokens: target => loads.get(target)?.outstandingTokens ?? 0,
      flowTokensPerS: target => (getShares(model).tokensPerS.get(target) ?? 0) * slowStart.fraction(target),
      linkDelayMs: target => holder.current().targets.get(target)?.link?.delayMs ?? 0,
      random: runtime.random
    }
  }

  function getPolicy (model: string): Policy {
    const known = policies.get(model)
    if (known !== undefined) return known
    const policy = createPolicy(options.policy, createLoadView(model))
    policies.set(model, policy)
    return policy
  }

  function addLoad (target: string, inFlight: number, outstandingTokens: number): void {
    const load = loads.get(target) ?? { inFlight: 0, outstandingTokens: 0 }
    load.inFlight += inFlight
    load.outstandingTokens += outstandingTokens
    if (load.inFlight === 0) loads.delete(target)
    else loads.set(target, load)
  }

  function addOutstanding (model: string, tokens: number): void {
    outstandingByModel.set(model, (outstandingByModel.get(model) ?? 0) + tokens)
  }

  function begin (model: string, tokens: number): RequestRoute {
    const policy = getPolicy(model)
    let remainingTokens = tokens
    let stages: string[] = []
    addOutstanding(model, tokens)

    function release (): void {
      for (const target of stages) addLoad(target, -1, -remainingTokens)
      stages = []
    }

    return {
      pick (candidates, chosen) {
        const stage = policy(candidates, remainingTokens)
        release()
        stages = [...chosen, stage].map(placement => placement.target)
        for (const target of stages) addLoad(target, 1, remainingTokens)
        return stage
      },
      recordToken () {
        if (remainingTokens === 0) return
        remainingTokens -= 1
        addOutstanding(model, -1)
        for (const target of stages) addLoad(target, 0, -1)
      },
      [Symbol.dispose] () {
        release()
        addOutstanding(model, -remainingTokens)
        remainingTokens = 0
      }
    }
  }

  /** Marks the shares as outdated on each value of a stream. */
  function markOnChange (stream: Stream<unknown>): void {
    stream.observe(() => { isOutdated = true }).catch((error: Error) => log.emit('unexpectedError', { cause: error.message }))
  }

  return {
    begin,
    boundTokensPerS: model => getShares(model).boundTokensPerS,
    outstandingTokens: model => outstandingByModel.get(model) ?? 0,
    async follow (signal) {
      markOnChange(holder.changes)
      markOnChange(directory.changes)
      let computedMs = runtime.monotonicMs()
      while (!signal.aborted) {
        await sleep(DEBOUNCE_MS, { runtime, signal })
        if (!isOutdated && runtime.monotonicMs() - computedMs < REFRESH_MS) continue
        computedMs = runtime.monotonicMs()
        recompute()
      }
    }
  }
}
