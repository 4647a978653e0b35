/**
 * Throughput of each way to choose stages against the bound of the engines, with one seed, and
 * the entry's processor time for a token beside that of a bare relay.
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

/** Entry processes. */
const ENTRIES = 3

/** Offered tokens as a multiple of the bound, so that the engines are kept busy. */
const OFFERED = 1.1

/** Time before and of the measurement, in seconds. */
const WARM_UP_S = 6
const MEASURED_S = 9

/** Lengths of the answers. */
const ANSWER_TOKENS = { least: 30, most: 90 }

/** What one policy reached. */
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
    requestsPerS: OFFERED * boundTokensPerS * 2 / (ANSWER_TOKENS.least + ANSWER_TOKENS.most),
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
