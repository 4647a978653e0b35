/**
 * The engines of the routing benches: 40 of three kinds over three layer ranges, on links of
 * two classes that are a hundredfold apart in bandwidth and in delay.
 */
import { computeFlowShares } from '../../src/route/computeFlowShares/index.js'
import { modelScopeSchema, targetSchema } from '../../src/ticket/types.js'
import { benchTokenHash, submitAndWait, type Deployment } from '../startDeployment/index.js'

/** Layers of the model. */
const LAYERS = 24

/** First layers of the ranges. */
const RANGE_LAYERS = 8

/** Stand-in processes that the engines are spread over. */
const STANDIN_PROCESSES = 4

/** Kinds of accelerators. */
const KINDS = {
  large: { tokensPerS: 400, stepMs: 2 },
  medium: { tokensPerS: 200, stepMs: 3 },
  small: { tokensPerS: 60, stepMs: 6 }
} as const

/** Classes of links. */
const LINKS = {
  near: { tokensPerS: 10_000, delayMs: 0.2 },
  far: { tokensPerS: 100, delayMs: 20 }
} as const

/** Engines by range and kind. */
const COUNTS = [
  { large: 3, medium: 4, small: 7 },
  { large: 3, medium: 4, small: 6 },
  { large: 2, medium: 5, small: 6 }
] as const

/** Every how many-th engine of a kind is on a far link. */
const FAR_EVERY = 4

/** One engine of the bench. */
interface BenchEngine {
  name: string
  kind: keyof typeof KINDS
  link: keyof typeof LINKS
  fromLayer: number
  toLayer: number
}

/** The 40 engines. */
export function planEngines (): BenchEngine[] {
  return COUNTS.flatMap((counts, range) => Object.entries(counts).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index): BenchEngine => ({
      name: `${kind}-${range}-${index}`,
      kind: kind as keyof typeof KINDS,
      link: index % FAR_EVERY === FAR_EVERY - 1 ? 'far' : 'near',
      fromLayer: range * RANGE_LAYERS,
      toLayer: (range + 1) * RANGE_LAYERS
    }))))
}

/** Throughput bound of the 40 engines. */
export function computeBound (): number {
  const engines = planEngines()
  const model = modelScopeSchema.parse({ layers: LAYERS, version: '1', placement: engines.map(({ name, fromLayer, toLayer }) => ({ target: name, fromLayer, toLayer })) })
  const targets = engines.map(({ name, kind, link }) => targetSchema.parse({ name, host: name, kind: 'engine', tokensPerS: KINDS[kind].tokensPerS, link: LINKS[link] }))
  return computeFlowShares({ model, targets: new Map(targets.map(target => [target.name, target])), isUsable: () => true }).boundTokensPerS
}

/** Starts the engines in several stand-in processes that join the deployment's host list. */
export async function startEngines (deployment: Deployment, engines: BenchEngine[]): Promise<void> {
  const parts = Array.from({ length: STANDIN_PROCESSES }, (_, part) => engines.filter((_, index) => index % STANDIN_PROCESSES === part))
  await Promise.all(parts.map((part, index) => deployment.startStandin(`engines-${index}`, {
    joinHostList: deployment.hostListUrl,
    engines: part.map(({ name, kind, link, fromLayer, toLayer }) => ({
      name, fromLayer, toLayer, model: 'draft', version: '1', ...KINDS[kind], linkTokensPerS: LINKS[link].tokensPerS, linkDelayMs: LINKS[link].delayMs
    }))
  })))
}

/** Longest waits that a saturated engine may cause without being taken as lost. */
const PATIENT_DEADLINES = { firstTokenMs: 60_000, betweenTokensMs: 60_000, answerMs: 120_000 }

/** Puts model, targets and accounts into force. */
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
        deadlines: PATIENT_DEADLINES
      },
      'targets/all': {
        targets: engines.map(({ name, kind, link }) => ({
          name, host: name, kind: 'engine', accelerator: kind, tokensPerS: KINDS[kind].tokensPerS, link: LINKS[link]
        }))
      },
      'accounts/all': { accounts: accounts.map(account => ({ ...account, tokenHash: benchTokenHash(`${account.name}-secret`) })) }
    }
  })
}

/** Waits until every entry sees every engine as usable. */
export async function waitForBound (deployment: Deployment, boundTokensPerS: number): Promise<void> {
  for (const entry of deployment.entries) {
    while (await readMetric(deployment, entry, 'coltsfootlead_bound_tokens_per_s{model="draft"}') !== boundTokensPerS) {
      await new Promise(resolve => { setTimeout(resolve, 50) })
    }
  }
}

/** One value of a daemon's metrics. */
export async function readMetric (deployment: Deployment, daemon: Deployment['entries'][number], name: string): Promise<number> {
  const text = await (await fetch(`${String(daemon.listening.operator)}/metrics`)).text()
  const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `))
  return Number(line?.slice(name.length + 1))
}
