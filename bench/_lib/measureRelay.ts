/**
 * Compares the processor time of the entry for streams of single tokens with that of a minimal
 * relay of the same frames from the same engines.
 */
import { spawn } from 'node:child_process'
import http from 'node:http'
import { createInterface } from 'node:readline'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { streamCompletion } from '../../src/load/streamCompletion/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { benchTokenHash, startDeployment, submitAndWait } from '../startDeployment/index.js'
import { readMetric } from './planEngines.js'

/** Concurrent streams, and tokens of each. */
const STREAMS = 120
const TOKENS_PER_STREAM = 250

/** Rounds; each measures the entry, then the relay. */
const ROUNDS = 2

const LAYERS = 24

/** Engines that hold the whole model, each in its own process. */
const ENGINES = ['whole-0', 'whole-1', 'whole-2']

/** Tokens per second of each engine. */
const ENGINE_TOKENS_PER_S = 3_000

/** Measures tokens per second of processor time, through the entry and through the minimal relay. */
export async function measureRelay (): Promise<{ entryTokensPerCoreS: number, relayTokensPerCoreS: number, relayRatio: number }> {
  await using deployment = await startDeployment({ entries: 1, controls: 0, plan: {} })
  const started = await Promise.all(ENGINES.map(name => deployment.startStandin(name, {
    joinHostList: deployment.hostListUrl,
    engines: [{ name, model: 'draft', version: '1', fromLayer: 0, toLayer: LAYERS, tokensPerS: ENGINE_TOKENS_PER_S, stepMs: 5 }]
  })))
  await submitAndWait(deployment, {
    number: 1,
    scopes: {
      'models/draft': { layers: LAYERS, version: '1', placement: ENGINES.map(target => ({ target, fromLayer: 0, toLayer: LAYERS })), deadlines: { firstTokenMs: 30_000, betweenTokensMs: 30_000 } },
      'targets/all': { targets: ENGINES.map(name => ({ name, host: name, kind: 'engine', tokensPerS: ENGINE_TOKENS_PER_S })) },
      'accounts/all': { accounts: [{ name: 'studio', tokenHash: benchTokenHash('studio-secret') }] }
    }
  })
  const addresses = started.flatMap(process => Object.values(process.listening.targets as Record<string, string>))
  const entry = deployment.entries[0]!
  const relay = await startRelay(addresses)
  const totals = { entry: { tokens: 0, cpuS: 0 }, relay: { tokens: 0, cpuS: 0 } }
  const servers = [
    { total: totals.entry, address: String(entry.listening.caller), readCpuS: () => readMetric(deployment, entry, 'process_cpu_seconds_total') },
    { total: totals.relay, address: relay.address, readCpuS: relay.readCpuS }
  ]
  try {
    for (const { address } of servers) await streamAll(address, 50)
    for (let round = 0; round < ROUNDS; round++) {
      for (const { total, address, readCpuS } of servers) {
        const before = await readCpuS()
        total.tokens += await streamAll(address, TOKENS_PER_STREAM)
        total.cpuS += await readCpuS() - before
      }
    }
  } finally {
    relay.stop()
  }
  const entryTokensPerCoreS = Math.round(totals.entry.tokens / totals.entry.cpuS)
  const relayTokensPerCoreS = Math.round(totals.relay.tokens / totals.relay.cpuS)
  return { entryTokensPerCoreS, relayTokensPerCoreS, relayRatio: Math.round(1_000 * entryTokensPerCoreS / relayTokensPerCoreS) / 1_000 }
}

async function streamAll (address: string, maxTokens: number): Promise<number> {
  const agent = new http.Agent({ keepAlive: true })
  const runtime = createSystemRuntime()
  const outcomes = await Promise.all(Array.from({ length: STREAMS }, (_, index) =>
    streamCompletion({ address, token: 'studio.studio-secret', model: 'draft', prompt: `van ${index}`, maxTokens }, { runtime, agent })))
  agent.destroy()
  const broken = outcomes.filter(outcome => outcome.kind !== 'complete')
  if (broken.length > 0) throw new Error(`${broken.length} streams failed: ${JSON.stringify(broken[0]?.problem)}`)
  return outcomes.reduce((sum, outcome) => sum + outcome.tokens.length, 0)
}

async function startRelay (engines: string[]): Promise<{ address: string, readCpuS: () => Promise<number>, stop: () => void }> {
  const script = path.resolve(fileURLToPath(import.meta.url), '../../relay/main.js')
  const child = spawn(process.execPath, [script, String(LAYERS), ...engines], { stdio: ['ignore', 'pipe', 'inherit'] })
  const address = await new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout }).once('line', line => resolve(JSON.parse(line).listening.caller))
    child.once('exit', code => reject(new Error(`the relay exited with code ${code}`)))
  })
  return {
    address,
    readCpuS: async () => (await (await fetch(`http://${address}/`)).json() as { cpuS: number }).cpuS,
    stop: () => child.kill('SIGKILL')
  }
}
