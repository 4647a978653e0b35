/**
 * The deployment of the recovery bench: one model on several pipelines, each engine in a process
 * of its own, entries that come and go behind a list of live ones, and an order service.
 */
import { readdir, readFile } from 'node:fs/promises'
import path from 'node:path'
import type { LedgerRow } from '../../standin/engine/types.js'
import { benchTokenHash, startDeployment, submitAndWait, type Deployment, type StartedProcess } from '../startDeployment/index.js'

/** First layer of each stage, and the number of layers. */
export const BOUNDARIES = [0, 8, 16, 24]

/** Engines of each stage. */
const REPLICAS = 4

/** Entries of the deployment. */
const ENTRIES = 4

/** Deadlines that bound the detection of a silent pipeline, in milliseconds. */
export const DETECTION = { firstTokenMs: 650, betweenTokensMs: 400, connectMs: 300 }

/** Least time of one step of an engine, in milliseconds. */
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
  /** Entries that the balancer sends to. */
  entries: StartedProcess[]
  /** Starts the process of an engine anew, at another address. */
  restartEngine: (engine: FleetEngine) => Promise<void>
  /** Starts an entry under the name of one that is gone. */
  restartEntry: (entry: StartedProcess) => Promise<void>
  /** Switches faults of an engine. */
  setFaults: (engine: FleetEngine, faults: Record<string, unknown>) => Promise<void>
  rows: () => Promise<LedgerRow[]>
  /** Sequences that the engines hold. */
  sequences: () => Promise<number>
}

/** Sends one JSON call to a control URL. */
export async function callControl (url: string, body: unknown, method = 'POST'): Promise<any> {
  const response = await fetch(url, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })
  return await response.json()
}

/** Starts everything and waits until the model is in force on every member. */
export async function startFleet (): Promise<Fleet> {
  const deployment = await startDeployment({
    entries: ENTRIES,
    controls: 1,
    plan: { services: [{ name: 'orders-1' }] },
    settings: { shutdown: { balancerLagMs: 200, deadlineMs: 30_000 } }
  })
  let starts = 0

  async function startEngine (name: string, stage: number): Promise<StartedProcess> {
    starts += 1
    const ledgerFile = path.join(deployment.folder, `ledger-${name}-${starts}.ndjson`)
    const engine = { name, model: 'draft', version: '1', fromLayer: BOUNDARIES[stage]!, toLayer: BOUNDARIES[stage + 1]!, stepMs: STEP_MS, tokensPerS: 4_000, ledgerFile }
    return await deployment.startStandin(name, { joinHostList: deployment.hostListUrl, engines: [engine] })
  }
  const addressOf = (process: StartedProcess): string => (process.listening.targets as Record<string, string>)[process.name]!

  const places = BOUNDARIES.slice(0, -1).flatMap((_, stage) => Array.from({ length: REPLICAS }, (_, index) => ({ name: `engine-${stage}-${index}`, stage })))
  const engines = await Promise.all(places.map(async ({ name, stage }) => {
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
    setFaults: async (engine, faults) => { await callControl(`http://${engine.address}/faults`, faults) },
    async rows () {
      const files = (await readdir(deployment.folder)).filter(name => name.startsWith('ledger-'))
      const texts = await Promise.all(files.map(name => readFile(path.join(deployment.folder, name), 'utf8')))
      return texts.flatMap(text => text.split('\n').filter(line => line.endsWith('}')).map(line => JSON.parse(line) as LedgerRow))
    },
    async sequences () {
      const counts = await Promise.all(engines.map(async ({ address }) => (await callControl(`http://${address}/v1/status`, undefined, 'GET')).sequences as number))
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
  const { firstTokenMs, betweenTokensMs, connectMs } = DETECTION
  return {
    'targets/all': { targets: [...engines.map(({ name }) => ({ name, host: name, kind: 'engine' })), { name: 'orders-1', host: 'orders-1', kind: 'service' }] },
    'models/draft': {
      layers: BOUNDARIES.at(-1),
      version: '1',
      placement: engines.map(({ name, stage }) => ({ target: name, fromLayer: BOUNDARIES[stage], toLayer: BOUNDARIES[stage + 1] })),
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
