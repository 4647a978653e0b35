/**
 * Goodput, refusals and recovery at one, two and four times the throughput bound.
 */
import { summarizeLoad } from '../../src/load/summarizeLoad/index.js'
import type { LoadPart, LoadRecord } from '../../src/load/types.js'
import { sendLoad } from '../_lib/sendLoad.js'
import { computeBound, planEngines, startEngines, submitEngines, waitForBound } from '../_lib/planEngines.js'
import { startDeployment } from '../startDeployment/index.js'

const ENTRIES = 3
const LOAD_FACTORS = [1, 2, 4]
const LOAD_S = 14
const DEADLINE_MS = 10_000

/** Load before and after the overload, as a fraction of the bound, and its duration in seconds. */
const BASELINE_LOAD = 0.3
const BASELINE_S = 8

/** A time to the first token counts as normal up to this multiple of the baseline's 95th percentile. */
const NORMAL_FACTOR = 2

const PART: LoadPart = {
  account: 'studio',
  token: 'studio.studio-secret',
  model: 'draft',
  share: 1,
  promptWords: { least: 5, most: 40 },
  answerTokens: { least: 30, most: 90 },
  deadlineMs: DEADLINE_MS
}

export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  await using deployment = await startDeployment({ entries: ENTRIES, controls: 0, plan: {}, settings: { log: { level: 'error' } } })
  const engines = planEngines()
  const boundTokensPerS = computeBound()
  await startEngines(deployment, engines)
  await submitEngines(deployment, engines, [{ name: 'studio' }])
  await waitForBound(deployment, boundTokensPerS)
  const sendAt = (factor: number, durationS: number): Promise<LoadRecord[]> =>
    sendLoad(deployment, { tokensPerS: factor * boundTokensPerS, durationS, parts: [PART] }, { seed })

  const baseline = summarizeLoad(await sendAt(BASELINE_LOAD, BASELINE_S), { seed, durationS: BASELINE_S })
  const loads = []
  for (const factor of LOAD_FACTORS.slice(0, -1)) loads.push(describeLoad(factor, await sendAt(factor, LOAD_S), seed))
  const last = sendAt(LOAD_FACTORS.at(-1)!, LOAD_S)
  await new Promise(resolve => { setTimeout(resolve, LOAD_S * 1_000) })
  const after = await sendAt(BASELINE_LOAD, BASELINE_S)
  loads.push(describeLoad(LOAD_FACTORS.at(-1)!, await last, seed))
  const peak = Math.max(...loads.map(load => load.goodputTokensPerS))
  return {
    boundTokensPerS,
    loads: loads.map(load => ({ ...load, goodputRatio: Math.round(1_000 * load.goodputTokensPerS / peak) / 1_000 })),
    calmFirstTokenP95Ms: baseline.firstTokenMs.p95,
    backToNormalMs: findRecoveryMs(after, NORMAL_FACTOR * baseline.firstTokenMs.p95)
  }
}

function describeLoad (factor: number, records: LoadRecord[], seed: number) {
  const summary = summarizeLoad(records, { seed, durationS: LOAD_S })
  const inTime = records.filter(record => record.kind === 'complete' && record.endedMs - record.arrival.atMs <= DEADLINE_MS)
  const lastMs = Math.max(...records.map(record => record.endedMs))
  return {
    factor,
    goodputTokensPerS: Math.round(inTime.reduce((sum, record) => sum + record.tokenAtMs.length, 0) * 1_000 / lastMs),
    requests: summary.requests,
    complete: summary.complete,
    refused: records.filter(record => record.kind === 'refused' && record.tokenAtMs.length === 0).length,
    cutOff: records.filter(record => record.kind !== 'complete' && record.tokenAtMs.length > 0).length,
    refusalP99Ms: summary.refusalMs.p99,
    lateAnswers: summary.late,
    reasons: summary.reasons
  }
}

/** Scheduled time of the last request after the overload that was not answered or started late. */
function findRecoveryMs (records: LoadRecord[], limitMs: number): number {
  const abnormal = records.filter(({ kind, arrival, tokenAtMs }) => kind !== 'complete' || tokenAtMs[0]! - arrival.atMs > limitMs)
  return Math.round(Math.max(0, ...abnormal.map(record => record.arrival.atMs)))
}
