/**
 * One account at ten times its share beside others within theirs, with limits over all entries
 * and one entry killed on the way.
 */
import { summarizeLoad } from '../../src/load/summarizeLoad/index.js'
import type { LoadPart, LoadRecord } from '../../src/load/types.js'
import { driveLoad } from '../_lib/driveLoad.js'
import { computeBound, planEngines, startEngines, submitEngines, waitForBound } from '../_lib/planEngines.js'
import { startDeployment } from '../startDeployment/index.js'

const ENTRIES = 3
const LOAD_S = 14

/** Accounts, each with this part of the bound as its share, of which the others ask less. */
const OTHERS = ['shop-1', 'shop-2', 'shop-3', 'shop-4']
const SHARE = 0.15
const OTHERS_LOAD = 0.12

/** What the large account asks, as a multiple of its share. */
const EXCESS = 10

/** Time at which one entry is killed. */
const KILL_MS = 6_000

/** Limit of the account `limited`, as a part of the bound, and what it asks. */
const LIMIT = 0.1
const LIMITED_LOAD = 0.3

export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  const boundTokensPerS = computeBound()
  const limitTokensPerS = Math.round(LIMIT * boundTokensPerS)
  await using deployment = await startDeployment({ entries: ENTRIES, controls: 0, plan: {}, settings: { log: { level: 'error' } } })
  const engines = planEngines()
  await startEngines(deployment, engines)
  await submitEngines(deployment, engines, [
    ...OTHERS.map(name => ({ name })), { name: 'bulk' }, { name: 'limited', limits: { tokensPerS: limitTokensPerS } }
  ])
  await waitForBound(deployment, boundTokensPerS)
  const others = OTHERS.map(name => createPart(name, OTHERS_LOAD))
  const drive = (parts: LoadPart[]): Promise<LoadRecord[]> =>
    driveLoad(deployment, { tokensPerS: boundTokensPerS * parts.reduce((sum, part) => sum + part.share, 0), durationS: LOAD_S, parts }, { seed })

  const alone = summarizeOthers(await drive(others), seed)
  const [besideRecords, bulkRecords] = await Promise.all([drive(others), drive([createPart('bulk', SHARE * EXCESS)])])
  const beside = summarizeOthers(besideRecords, seed)
  const limited = drive([createPart('limited', LIMITED_LOAD)])
  setTimeout(() => deployment.entries.at(-1)!.child.kill('SIGKILL'), KILL_MS)
  const limitedTokensPerS = findHighestRate(await limited)
  return {
    boundTokensPerS,
    othersP95Ratio: Math.round(1_000 * beside.answerMs.p95 / alone.answerMs.p95) / 1_000,
    othersFirstTokenP95Ratio: Math.round(1_000 * beside.firstTokenMs.p95 / alone.firstTokenMs.p95) / 1_000,
    others: { requests: beside.requests, complete: beside.complete, answerP95Ms: beside.answerMs.p95, aloneAnswerP95Ms: alone.answerMs.p95 },
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

/** Tokens that were admitted for the account, over the time in which it asked. */
function findHighestRate (records: LoadRecord[]): number {
  const admitted = records.filter(record => record.tokenAtMs.length > 0)
  return Math.round(admitted.reduce((sum, record) => sum + record.arrival.answerTokens, 0) / LOAD_S)
}
