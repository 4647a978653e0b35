/**
 * Effect of an account at ten times its share on accounts within theirs; and whether a rate limit
 * holds over all entries while one of them is killed.
 */
import { summarizeLoad } from '../../src/load/summarizeLoad/index.js'
import type { LoadPart, LoadRecord } from '../../src/load/types.js'
import { sendLoad } from '../_lib/sendLoad.js'
import { computeBound, planEngines, startEngines, submitEngines, waitForBound } from '../_lib/planEngines.js'
import { startDeployment } from '../startDeployment/index.js'

const ENTRIES = 3
const LOAD_S = 14

/** Accounts within their share; share and load of each, as fractions of the bound. */
const OTHERS = ['shop-1', 'shop-2', 'shop-3', 'shop-4']
const SHARE = 0.15
const OTHERS_LOAD = 0.12

/** Load of the account `bulk`, as a multiple of its share. */
const BULK_LOAD_FACTOR = 10

/** Time after which one entry is killed. */
const KILL_AFTER_MS = 6_000

/** Limit and load of the account `limited`, as fractions of the bound. */
const LIMIT_SHARE = 0.1
const LIMITED_LOAD = 0.3

export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  const boundTokensPerS = computeBound()
  const limitTokensPerS = Math.round(LIMIT_SHARE * boundTokensPerS)
  await using deployment = await startDeployment({ entries: ENTRIES, controls: 0, plan: {}, settings: { log: { level: 'error' } } })
  const engines = planEngines()
  await startEngines(deployment, engines)
  await submitEngines(deployment, engines, [
    ...OTHERS.map(name => ({ name })), { name: 'bulk' }, { name: 'limited', limits: { tokensPerS: limitTokensPerS } }
  ])
  await waitForBound(deployment, boundTokensPerS)
  const others = OTHERS.map(name => createPart(name, OTHERS_LOAD))
  const sendParts = (parts: LoadPart[]): Promise<LoadRecord[]> =>
    sendLoad(deployment, { tokensPerS: boundTokensPerS * parts.reduce((sum, part) => sum + part.share, 0), durationS: LOAD_S, parts }, { seed })

  const withoutBulk = summarizeOthers(await sendParts(others), seed)
  const [withBulkRecords, bulkRecords] = await Promise.all([sendParts(others), sendParts([createPart('bulk', SHARE * BULK_LOAD_FACTOR)])])
  const withBulk = summarizeOthers(withBulkRecords, seed)
  const limited = sendParts([createPart('limited', LIMITED_LOAD)])
  setTimeout(() => deployment.entries.at(-1)!.child.kill('SIGKILL'), KILL_AFTER_MS)
  const limitedTokensPerS = computeAdmittedRate(await limited)
  return {
    boundTokensPerS,
    othersP95Ratio: Math.round(1_000 * withBulk.answerMs.p95 / withoutBulk.answerMs.p95) / 1_000,
    othersFirstTokenP95Ratio: Math.round(1_000 * withBulk.firstTokenMs.p95 / withoutBulk.firstTokenMs.p95) / 1_000,
    others: { requests: withBulk.requests, complete: withBulk.complete, answerP95Ms: withBulk.answerMs.p95, aloneAnswerP95Ms: withoutBulk.answerMs.p95 },
    bulk: { requests: bulkRecords.length, complete: bulkRecords.filter(record => record.kind === 'complete').length },
    limitTokensPerS,
    limitedTokensPerS,
    limitOvershoot: Math.max(0, Math.round(1_000 * (limitedTokensPerS / limitTokensPerS - 1)) / 1_000)
  }
}

function createPart (account: string, share: number): LoadPart {
  return {
    account,
    token: `${account}.${account}-secret`,
    model: 'draft',
    share,
    promptWords: { least: 5, most: 40 },
    answerTokens: { least: 30, most: 90 },
    deadlineMs: 20_000
  }
}

function summarizeOthers (records: LoadRecord[], seed: number) {
  return summarizeLoad(records, { seed, durationS: LOAD_S })
}

/** Computes the admitted tokens per second, averaged over the duration of the load. */
function computeAdmittedRate (records: LoadRecord[]): number {
  const admitted = records.filter(record => record.tokenAtMs.length > 0)
  return Math.round(admitted.reduce((sum, record) => sum + record.arrival.answerTokens, 0) / LOAD_S)
}
