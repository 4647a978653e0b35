/**
 * The routes of one process: flow shares by model, kept in step with configuration and targets
 * off the request path, and the load that its own requests put on each target.
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

/** Changes within this time are answered by one computation. */
const DEBOUNCE_MS = 50

/** Time after which the shares are computed anew without a known change, as suspicions lapse silently. */
const REFRESH_MS = 1_000

/** Shares of a model that is not in force. */
const NO_SHARES: FlowShares = { boundTokensPerS: 0, tokensPerS: new Map() }

/** What a router works with. */
export interface RouterOptions {
  policy: PolicyName
  holder: ConfigurationHolder
  directory: TargetDirectory
  runtime: Runtime
  log: EventLog
  /** Called with the bound of each model after each computation. */
  onBound?: (model: string, boundTokensPerS: number) => void
}

/** Load of one target. */
interface TargetLoad {
  inFlight: number
  outstandingTokens: number
}

/**
 * @name createRouter
 * @summary The router of one process.
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
  const byModel = new Map<string, number>()
  const policies = new Map<string, Policy>()
  const slowStart = createSlowStart({ runtime })
  let shares = new Map<string, FlowShares>()
  let changed = true

  function recompute (): void {
    changed = false
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

  function sharesOf (model: string): FlowShares {
    if (!shares.has(model)) recompute()
    return shares.get(model) ?? NO_SHARES
  }

  function createLoadView (model: string): LoadView {
    return {
      inFlight: target => loads.get(target)?.inFlight ?? 0,
      outstandingTokens: target => loads.get(target)?.outstandingTokens ?? 0,
      flowTokensPerS: target => (sharesOf(model).tokensPerS.get(target) ?? 0) * slowStart.part(target),
      linkDelayMs: target => holder.current().targets.get(target)?.link?.delayMs ?? 0,
      random: runtime.random
    }
  }

  function policyOf (model: string): Policy {
    const known = policies.get(model)
    if (known !== undefined) return known
    const policy = createPolicy(options.policy, createLoadView(model))
    policies.set(model, policy)
    return policy
  }

  function add (target: string, inFlight: number, outstandingTokens: number): void {
    const load = loads.get(target) ?? { inFlight: 0, outstandingTokens: 0 }
    load.inFlight += inFlight
    load.outstandingTokens += outstandingTokens
    if (load.inFlight === 0) loads.delete(target)
    else loads.set(target, load)
  }

  function addToModel (model: string, tokens: number): void {
    byModel.set(model, (byModel.get(model) ?? 0) + tokens)
  }

  function begin (model: string, tokens: number): RequestRoute {
    const policy = policyOf(model)
    let leftTokens = tokens
    let stages: string[] = []
    addToModel(model, tokens)

    function release (): void {
      for (const target of stages) add(target, -1, -leftTokens)
      stages = []
    }

    return {
      pick (candidates, chosen) {
        const stage = policy(candidates, leftTokens)
        release()
        stages = [...chosen, stage].map(part => part.target)
        for (const target of stages) add(target, 1, leftTokens)
        return stage
      },
      recordToken () {
        if (leftTokens === 0) return
        leftTokens -= 1
        addToModel(model, -1)
        for (const target of stages) add(target, 0, -1)
      },
      [Symbol.dispose] () {
        release()
        addToModel(model, -leftTokens)
        leftTokens = 0
      }
    }
  }

  /** Marks the shares as old on each value of a stream. */
  function watch (stream: Stream<unknown>): void {
    stream.observe(() => { changed = true }).catch((error: Error) => log.emit('unexpectedError', { cause: error.message }))
  }

  return {
    begin,
    boundTokensPerS: model => sharesOf(model).boundTokensPerS,
    outstandingTokens: model => byModel.get(model) ?? 0,
    async follow (signal) {
      watch(holder.changes)
      watch(directory.changes)
      let computedMs = runtime.monotonicMs()
      while (!signal.aborted) {
        await sleep(DEBOUNCE_MS, { runtime, signal })
        if (!changed && runtime.monotonicMs() - computedMs < REFRESH_MS) continue
        computedMs = runtime.monotonicMs()
        recompute()
      }
    }
  }
}
