/**
 * Costs of the control daemon that grow with the size of the deployment, measured separately:
 * building a configuration, planning orders, parsing the host list and reading engine states.
 */
import { buildConfiguration } from '../../src/configuration/buildConfiguration/index.js'
import { planOrders } from '../../src/control/planOrders/index.js'
import { createHttpEngine } from '../../src/engine/createHttpEngine/index.js'
import type { EngineStatus } from '../../src/engine/types.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { benchTokenHash, startDeployment } from '../startDeployment/index.js'

/** The target size. */
const MODELS = 11
const ENGINES_PER_MODEL = 345
const HOSTS = 4_000
const ACCOUNT_GROUPS = 50
const ACCOUNTS_PER_GROUP = 50
const TARGETS_PER_GROUP = 100

/** Layers of each model, and number of ranges that they are split into. */
const LAYERS = 80
const RANGES = 8

/** Repetitions, of which the median is reported. */
const REPETITIONS = 9

/** Number of status reads measured, and how many run concurrently. */
const STATUS_READS = 3_000
const READS_AT_ONCE = 16

const range = (count: number): number[] => Array.from({ length: count }, (_, index) => index)

function describeScopes (): Map<string, unknown> {
  const tokenHash = benchTokenHash('secret')
  const values = new Map<string, unknown>()
  for (const group of range(ACCOUNT_GROUPS)) {
    const accounts = range(ACCOUNTS_PER_GROUP).map(index =>
      ({ name: `account-${group}-${index}`, tokenHash, limits: { requestsPerS: 10, tokensPerS: 2_000, inFlight: 20 } }))
    values.set(`accounts/group-${group}`, { accounts })
  }
  const targets = range(MODELS * ENGINES_PER_MODEL).map(index =>
    ({ name: `engine-${index}`, host: `host-${index}`, kind: 'engine', accelerator: 'kind-1', tokensPerS: 2_000 }))
  for (let from = 0; from < targets.length; from += TARGETS_PER_GROUP) {
    values.set(`targets/group-${from}`, { targets: targets.slice(from, from + TARGETS_PER_GROUP) })
  }
  for (const model of range(MODELS)) values.set(`models/model-${model}`, { layers: LAYERS, version: 'v1', placement: placeModel(model) })
  return values
}

function placeModel (model: number) {
  const step = LAYERS / RANGES
  return range(ENGINES_PER_MODEL).map(index => {
    const fromLayer = (index % RANGES) * step
    return { target: `engine-${model * ENGINES_PER_MODEL + index}`, fromLayer, toLayer: fromLayer + step }
  })
}

function median (values: number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!
}

function measureMedianMs (work: () => unknown): number {
  return median(range(REPETITIONS).map(() => {
    const startedMs = performance.now()
    work()
    return performance.now() - startedMs
  }))
}

/** Measures the processor time of this process per read of an engine's status, in microseconds. */
async function measureStatusRead (): Promise<number> {
  await using deployment = await startDeployment({ entries: 0, controls: 0, plan: { engines: [{ name: 'engine-1' }] } })
  await using engines = createHttpEngine({ runtime: createSystemRuntime() })
  const endpoint = { target: 'engine-1', address: deployment.targets['engine-1']! }
  async function readMany (count: number): Promise<void> {
    for (const index of range(count)) if (index % READS_AT_ONCE === 0) await engines.status(endpoint, { timeoutMs: 2_000 })
  }
  const readAll = async (): Promise<unknown> => await Promise.all(range(READS_AT_ONCE).map(async () => await readMany(STATUS_READS)))
  await readAll()
  const before = process.cpuUsage()
  await readAll()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / STATUS_READS
}

export async function run (): Promise<Record<string, unknown>> {
  const values = describeScopes()
  const scopes = Object.fromEntries([...values.keys()].map((scope, index) => [scope, index + 1]))
  const head = { revision: 1, scopes, nonce: '00000000-0000-0000-0000-000000000000' }
  const { models } = buildConfiguration(head, values)
  const statuses = new Map([...models].flatMap(([model, { version, placement }]) => placement.map((part): [string, EngineStatus] =>
    [part.target, { ...part, model, version, fencing: 1, sequences: 0, leaving: false }])))
  const changedModels = new Map(models).set('model-0', { ...models.get('model-0')!, version: 'v2' })
  const hosts = JSON.stringify({ hosts: range(HOSTS).map(index => ({ name: `host-${index}`, address: `10.1.${index >> 8}.${index & 255}:8000`, failureDomain: 'domain-1', state: 'live' })) })
  return {
    headBytes: JSON.stringify(head).length,
    configurationBytes: [...values.values()].reduce<number>((sum, value) => sum + JSON.stringify(value).length, 0),
    largestScopeBytes: Math.max(...[...values.values()].map(value => JSON.stringify(value).length)),
    buildMs: measureMedianMs(() => buildConfiguration(head, values)),
    planUnchangedMs: measureMedianMs(() => planOrders({ models, statuses })),
    planOneModelMs: measureMedianMs(() => planOrders({ models: changedModels, statuses })),
    hostListBytes: hosts.length,
    hostListParseMs: measureMedianMs(() => JSON.parse(hosts)),
    statusReadCpuUs: await measureStatusRead()
  }
}
