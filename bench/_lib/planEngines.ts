/**
 * The engines of the routing benches: 40 engines with three kinds of accelerators and three layer
 * ranges, on two classes of links that differ by a factor of 100 in bandwidth and in delay.
 */
import { computeFlowShares } from '../../src/route/computeFlowShares/index.js'
import { modelScopeSchema, targetSchema } from '../../src/ticket/types.js'
import { benchTokenHash, submitAndWait, type Deployment } from '../startDeployment/index.js'

/** Layers of the model. */
const LAYERS = 24

/** Layers of each range; the first range starts at layer 0. */
const LAYERS_PER_RANGE = 8

/** Stand-in processes that run the engines. */
const STANDIN_PROCESSES = 4

/** Kinds of accelerators. */
const ACCELERATORS = {
  large: { tokensPerS: 400, stepMs: 2 },
  medium: { tokensPerS: 200, stepMs: 3 },
  small: { tokensPerS: 60, stepMs: 6 }
} as const

/** Classes of links. */
const LINK_CLASSES = {
  near: { tokensPerS: 10_000, delayMs: 0.2 },
  far: { tokensPerS: 100, delayMs: 20 }
} as const

/** Number of engines by range and accelerator. */
const ENGINE_COUNTS = [
  { large: 3, medium: 4, small: 7 },
  { large: 3, medium: 4, small: 6 },
  { large: 2, medium: 5, small: 6 }
] as const

/** In each range, one of this many engines of a kind has a far link. */
const FAR_LINK_INTERVAL = 4

/** One engine of the bench. */
interface BenchEngine {
  name: string
  kind: keyof typeof ACCELERATORS
  link: keyof typeof LINK_CLASSES
  fromLayer: number
  toLayer: number
}

/** Creates the descriptions of the 40 engines. */
export function planEngines (): BenchEngine[] {
  return ENGINE_COUNTS.flatMap((counts, range) => Object.entries(counts).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index): BenchEngine => ({
      name: `${kind}-${range}-${index}`,
      kind: kind as keyof typeof ACCELERATORS,
      link: index % FAR_LINK_INTERVAL === FAR_LINK_INTERVAL - 1 ? 'far' : 'near',
      fromLayer: range * LAYERS_PER_RANGE,
      toLayer: (range + 1) * LAYERS_PER_RANGE
    }))))
}

/** Computes the throughput bound of the 40 engines, in tokens per second. */
export function computeBound (): number {
  const engines = planEngines()
  const model = modelScopeSchema.parse({ layers: LAYERS, version: '1', placement: engines.map(({ name, fromLayer, toLayer }) => ({ target: name, fromLayer, toLayer })) })
  const targets = engines.map(({ name, kind, link }) => targetSchema.parse({ name, host: name, kind: 'engine', tokensPerS: ACCELERATORS[kind].tokensPerS, link: LINK_CLASSES[link] }))
  return computeFlowShares({ model, targets: new Map(targets.map(target => [target.name, target])), isUsable: () => true }).boundTokensPerS
}

/** Starts the engines in several stand-in processes that join the deployment's host list. */
export async function startEngines (deployment: Deployment, engines: BenchEngine[]): Promise<void> {
  const parts = Array.from({ length: STANDIN_PROCESSES }, (_, part) => engines.filter((_, index) => index % STANDIN_PROCESSES === part))
  await Promise.all(parts.map((part, index) => deployment.startStandin(`engines-${index}`, {
    joinHostList: deployment.hostListUrl,
    engines: part.map(({ name, kind, link, fromLayer, toLayer }) => ({
      name, fromLayer, toLayer, model: 'draft', version: '1', ...ACCELERATORS[kind], linkTokensPerS: LINK_CLASSES[link].tokensPerS, linkDelayMs: LINK_CLASSES[link].delayMs
    }))
  })))
}

/** Deadlines long enough that a saturated engine does not count as lost. */
const LONG_DEADLINES = { firstTokenMs: 60_000, betweenTokensMs: 60_000, answerMs: 120_000 }

/** Submits the model, targets and accounts, and waits until they are in force. */
export async function submitEngines (
  deployment: Deployment,
  engines: BenchEngine[],
  accounts: Array<{ name: string, limits?: Record<string, number>, weight?: number }>
): Promise<void> {
  await submitAndWait(deployment, {
    number: 1,
    scopes: {
      'models/draft': {
        layers: LAYERS,
        version: '1',
        placement: engines.map(({ name, fromLayer, toLayer }) => ({ target: name, fromLayer, toLayer })),
        deadlines: LONG_DEADLINES
      },
      'targets/all': {
        targets: engines.map(({ name, kind, link }) => ({
          name, host: name, kind: 'engine', accelerator: kind, tokensPerS: ACCELERATORS[kind].tokensPerS, link: LINK_CLASSES[link]
        }))
      },
      'accounts/all': { accounts: accounts.map(account => ({ ...account, tokenHash: benchTokenHash(`${account.name}-secret`) })) }
    }
  })
}

/** Waits until every entry reports the full bound, and so considers every engine usable. */
export async function waitForBound (deployment: Deployment, boundTokensPerS: number): Promise<void> {
  for (const entry of deployment.entries) {
    while (await readMetric(deployment, entry, 'coltsfootlead_bound_tokens_per_s{model="draft"}') !== boundTokensPerS) {
      await new Promise(resolve => { setTimeout(resolve, 50) })
    }
  }
}

/** Reads one series of a daemon's metrics; NaN if it is absent. */
export async function readMetric (deployment: Deployment, daemon: Deployment['entries'][number], name: string): Promise<number> {
  const text = await (await fetch(`${String(daemon.listening.operator)}/metrics`)).text()
  const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `))
  return Number(line?.slice(name.length + 1))
}
