/**
 * The deployment of the recovery bench: one model on several pipelines with each engine in its own
 * process, entries that can be stopped and replaced, and an order service.
 */
import { readdir, readFile } from 'node:fs/promises'
import path from 'node:path'
import type { LedgerRow } from '../../standin/engine/types.js'
import { benchTokenHash, startDeployment, submitAndWait, type Deployment, type StartedProcess } from '../startDeployment/index.js'

/** First layer of each stage, followed by the number of layers. */
export const LAYER_BOUNDARIES = [0, 8, 16, 24]

/** Number of engines of each stage. */
const ENGINES_PER_STAGE = 4

/** Number of entries. */
const ENTRIES = 4

/** Deadlines that limit how long a silent pipeline goes undetected, in milliseconds. */
export const DETECTION_DEADLINES = { firstTokenMs: 650, betweenTokensMs: 400, connectMs: 300 }

/** Minimum duration of one engine step, in milliseconds. */
const STEP_MS = 4

/** One engine process. */
export interface FleetEngine {
  name: string
  stage: number
  process: StartedProcess
  /** `ip:port`. */
  address: string
}

/** The running fleet. */
export interface Fleet extends AsyncDisposable {
  deployment: Deployment
  engines: FleetEngine[]
  /** Entries that the load balancer sends to. */
  entries: StartedProcess[]
  /** Starts a new process for an engine, at a new address. */
  restartEngine: (engine: FleetEngine) => Promise<void>
  /** Starts an entry with the name of a stopped one and waits until it is ready. */
  restartEntry: (entry: StartedProcess) => Promise<void>
  /** Sets the faults that an engine simulates. */
  setFaults: (engine: FleetEngine, faults: Record<string, unknown>) => Promise<void>
  /** Reads the ledgers of all engine processes, including those that were killed. */
  rows: () => Promise<LedgerRow[]>
  /** Counts the sequences that the engines hold. */
  sequences: () => Promise<number>
}

/** Sends a JSON request to a stand-in and returns the JSON answer. */
export async function callJson (url: string, body: unknown, method = 'POST'): Promise<any> {
  const response = await fetch(url, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })
  return await response.json()
}

/** Starts the deployment and waits until the model is in force on every member. */
export async function startFleet (): Promise<Fleet> {
  const deployment = await startDeployment({
    entries: ENTRIES,
    controls: 1,
    plan: { services: [{ name: 'orders-1' }] },
    settings: { shutdown: { balancerLagMs: 200, deadlineMs: 30_000 } }
  })
  let startCount = 0

  async function startEngine (name: string, stage: number): Promise<StartedProcess> {
    startCount += 1
    const ledgerFile = path.join(deployment.folder, `ledger-${name}-${startCount}.ndjson`)
    const engine = { name, model: 'draft', version: '1', fromLayer: LAYER_BOUNDARIES[stage]!, toLayer: LAYER_BOUNDARIES[stage + 1]!, stepMs: STEP_MS, tokensPerS: 4_000, ledgerFile }
    return await deployment.startStandin(name, { joinHostList: deployment.hostListUrl, engines: [engine] })
  }
  const addressOf = (process: StartedProcess): string => (process.listening.targets as Record<string, string>)[process.name]!

  const plannedEngines = LAYER_BOUNDARIES.slice(0, -1).flatMap((_, stage) => Array.from({ length: ENGINES_PER_STAGE }, (_, index) => ({ name: `engine-${stage}-${index}`, stage })))
  const engines = await Promise.all(plannedEngines.map(async ({ name, stage }) => {
    const process = await startEngine(name, stage)
    return { name, stage, process, address: addressOf(process) }
  }))
  await submitAndWait(deployment, { number: 1, scopes: describeScopes(engines) })
  const entries = [...deployment.entries]
  return {
    deployment,
    engines,
    entries,
    async restartEngine (engine) {
      engine.process = await startEngine(engine.name, engine.stage)
      engine.address = addressOf(engine.process)
    },
    async restartEntry (entry) {
      const started = await deployment.startDaemon('entry', Number(entry.name.slice('entry-'.length)))
      await waitReady(started)
      entries.push(started)
    },
    setFaults: async (engine, faults) => { await callJson(`http://${engine.address}/faults`, faults) },
    async rows () {
      const files = (await readdir(deployment.folder)).filter(name => name.startsWith('ledger-'))
      const texts = await Promise.all(files.map(name => readFile(path.join(deployment.folder, name), 'utf8')))
      return texts.flatMap(text => text.split('\n').filter(line => line.endsWith('}')).map(line => JSON.parse(line) as LedgerRow))
    },
    async sequences () {
      const counts = await Promise.all(engines.map(async ({ address }) => (await callJson(`http://${address}/v1/status`, undefined, 'GET')).sequences as number))
      return counts.reduce((sum, count) => sum + count, 0)
    },
    [Symbol.asyncDispose]: () => deployment[Symbol.asyncDispose]()
  }
}

async function waitReady (entry: StartedProcess): Promise<void> {
  for (;;) {
    const response = await fetch(`${String(entry.listening.operator)}/health/ready`).catch(() => undefined)
    if (response?.status === 200) return
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
}

function describeScopes (engines: FleetEngine[]): Record<string, unknown> {
  const { firstTokenMs, betweenTokensMs, connectMs } = DETECTION_DEADLINES
  return {
    'targets/all': { targets: [...engines.map(({ name }) => ({ name, host: name, kind: 'engine' })), { name: 'orders-1', host: 'orders-1', kind: 'service' }] },
    'models/draft': {
      layers: LAYER_BOUNDARIES.at(-1),
      version: '1',
      placement: engines.map(({ name, stage }) => ({ target: name, fromLayer: LAYER_BOUNDARIES[stage], toLayer: LAYER_BOUNDARIES[stage + 1] })),
      deadlines: { firstTokenMs, betweenTokensMs, answerMs: 20_000 }
    },
    'services/orders': {
      targets: ['orders-1'],
      calls: [{ method: 'POST', pathPrefix: '/orders', repeatable: false }],
      timeoutMs: 5_000
    },
    'accounts/all': { accounts: [{ name: 'studio', tokenHash: benchTokenHash('studio-secret') }] },
    timeouts: { connectMs }
  }
}
