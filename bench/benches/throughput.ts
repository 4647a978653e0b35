/**
 * Throughput of each routing policy compared with the throughput bound of the engines, and the
 * entry's processor time per token compared with that of a minimal relay.
 */
import http from 'node:http'
import { planArrivals } from '../../src/load/planArrivals/index.js'
import { runLoad } from '../../src/load/runLoad/index.js'
import { streamCompletion } from '../../src/load/streamCompletion/index.js'
import { summarizeLoad } from '../../src/load/summarizeLoad/index.js'
import type { LoadMix, TimeSummary } from '../../src/load/types.js'
import { POLICY_NAMES, type PolicyName } from '../../src/route/types.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { measureRelay } from '../_lib/measureRelay.js'
import { computeBound, planEngines, startEngines, submitEngines, waitForBound } from '../_lib/planEngines.js'
import { startDeployment } from '../startDeployment/index.js'

/** Number of entry processes. */
const ENTRIES = 3

/** Offered load as a multiple of the bound; above 1 so that the engines stay busy. */
const OFFERED_LOAD = 1.1

/** Duration of the warm-up and of the measurement, in seconds. */
const WARM_UP_S = 6
const MEASURED_S = 9

/** Range of answer lengths, in tokens. */
const ANSWER_TOKENS = { least: 30, most: 90 }

/** Figures of one routing policy. */
interface PolicyFigures {
  tokensPerS: number
  ratio: number
  firstTokenMs: Pick<TimeSummary, 'p50' | 'p95'>
  betweenTokensMs: Pick<TimeSummary, 'p50' | 'p95'>
}

export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  const boundTokensPerS = computeBound()
  const figures = {} as Record<PolicyName, PolicyFigures>
  for (const policy of POLICY_NAMES) figures[policy] = await measurePolicy(policy, boundTokensPerS, seed)
  const { flowShare, ...others } = figures
  return {
    boundTokensPerS,
    ...flowShare,
    baselines: Object.fromEntries(Object.entries(others).map(([name, { ratio }]) => [name, ratio])),
    ...await measureRelay()
  }
}

async function measurePolicy (policy: PolicyName, boundTokensPerS: number, seed: number): Promise<PolicyFigures> {
  await using deployment = await startDeployment({ entries: ENTRIES, controls: 0, plan: {}, settings: { routing: { policy }, log: { level: 'error' } } })
  const engines = planEngines()
  await startEngines(deployment, engines)
  await submitEngines(deployment, engines, [{ name: 'studio' }])
  await waitForBound(deployment, boundTokensPerS)
  const durationS = WARM_UP_S + MEASURED_S
  const mix: LoadMix = {
    requestsPerS: OFFERED_LOAD * boundTokensPerS * 2 / (ANSWER_TOKENS.least + ANSWER_TOKENS.most),
    durationS,
    parts: [{ account: 'studio', token: 'studio.studio-secret', model: 'draft', share: 1, promptWords: { least: 5, most: 40 }, answerTokens: ANSWER_TOKENS }]
  }
  const agent = new http.Agent({ keepAlive: true })
  const runtime = createSystemRuntime()
  const cut = setTimeout(() => agent.destroy(), durationS * 1_000)
  const records = await runLoad(planArrivals(mix, { seed }), {
    addresses: deployment.entries.map(entry => String(entry.listening.caller)),
    send: call => streamCompletion(call, { runtime, agent }),
    runtime
  })
  clearTimeout(cut)
  const { firstTokenMs, betweenTokensMs } = summarizeLoad(records, { seed, durationS })
  const inWindow = (atMs: number): boolean => atMs >= WARM_UP_S * 1_000 && atMs < durationS * 1_000
  const tokens = records.reduce((sum, record) => sum + record.tokenAtMs.filter(inWindow).length, 0)
  const tokensPerS = tokens / MEASURED_S
  return {
    tokensPerS: Math.round(tokensPerS),
    ratio: Math.round(1_000 * tokensPerS / boundTokensPerS) / 1_000,
    firstTokenMs: { p50: firstTokenMs.p50, p95: firstTokenMs.p95 },
    betweenTokensMs: { p50: betweenTokensMs.p50, p95: betweenTokensMs.p95 }
  }
}
