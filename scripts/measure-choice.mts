/**
 * Measures the processor time of choosing a path, with what is known of costs and slow engines:
 * `npx tsx scripts/measure-choice.mts ENGINES...` prints microseconds for each request.
 */
import { setTimeout } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { createFleetState } from '../src/fleet/createFleetState/index.js'
import { reservePath } from '../src/gateway/_lib/reserveCapacity.js'
import * as sizes from '../src/gateway/_lib/estimateRequestSize.js'
import { createCoverageCheck } from '../src/path/createCoverageCheck/index.js'
import { createLoadTracker } from '../src/path/createLoadTracker/index.js'
import { createTargetPauses } from '../src/pause/createTargetPauses/index.js'
import { createTargetLimits } from '../src/rateLimit/createTargetLimits/index.js'
import { createSystemRuntime } from '../src/runtime/createSystemRuntime/index.js'
import { createSuspicions } from '../src/suspicion/createSuspicions/index.js'
import { buildEngine, TEST_MODEL } from '../test/fakes/buildFleet.js'
import { createTestLog } from '../test/fakes/createTestLog.js'
import type { GatewayContext } from '../src/gateway/types.js'

/** Requests that are chosen for, and how many are open at a time. */
const REQUESTS = 6_000
const OPEN = 60

const MODEL = { ...TEST_MODEL, tokensPerEvent: 4 }

/** Modules that an earlier build may lack. */
async function importIfPresent (path: string): Promise<Record<string, any>> {
  try {
    return await import(path)
  } catch {
    return {}
  }
}

const { createCostModel } = await importIfPresent('../src/cost/createCostModel/index.js')
const { createSlowdowns } = await importIfPresent('../src/cost/createSlowdowns/index.js')

async function measure (engineCount: number): Promise<number> {
  const runtime = createSystemRuntime()
  const log = createTestLog()
  const fleet = createFleetState({ runtime })
  const service = { name: 'model', model: MODEL }
  const kinds = Object.keys(MODEL.kinds)
  const targets = Array.from({ length: engineCount }, (_, index) => {
    const [from, group] = [(index % 16) * 5, Math.floor(index / 16)]
    return buildEngine(`e-${index}`, ['north', 'east', 'south'][group % 3]!, kinds[(index + group) % kinds.length]!, { from, to: from + 5 })
  })
  fleet.applySnapshot({ revision: 1, targets })
  const slowdowns = createSlowdowns?.({ runtime })
  const suspicions = createSuspicions({ runtime, slowdownOf: slowdowns?.slowdownOf })
  const context = {
    fleet, suspicions, runtime, log, slowdowns,
    costs: createCostModel?.({ runtime }),
    loadTracker: createLoadTracker({ runtime, hostCount: () => 1 }),
    targetLimits: createTargetLimits({ runtime, log, ownIp: '127.0.0.1', otherIps: () => [] }),
    targetPauses: createTargetPauses({ runtime, log }),
    checkCoverage: createCoverageCheck({ fleet, suspicions, runtime }),
    loadAgeMs: () => 200
  } as unknown as GatewayContext
  const open: Disposable[] = []
  let placed = 0
  const run = (requests: number, isLearning: boolean): void => {
    for (let index = 0; index < requests; index++) {
      const call = { service, route: { name: `r-${index % 3}` }, account: `a-${index % 40}`, facts: { promptTokens: 770, maxOutputTokens: 600, hintedOutputTokens: 100 + index % 200, promptParts: [`p${index % 60}`, String(index)] } }
      const size = sizes.estimateRequestSize(call as never, context)
      const reservation = reservePath(service as never, size, new Set(), 'north', context)
      if (reservation !== undefined) {
        placed++
        open.push(reservation)
        if (isLearning) slowdowns?.note(reservation.path!.map(({ target }) => ({ targetId: target.id, expectedMs: 10 })), 80)
      }
      if (isLearning) sizes.learnOutput?.(call as never, 20 + index % 60, { isWhole: true }, context)
      if (open.length > OPEN) open.shift()![Symbol.dispose]()
    }
  }
  // Until it has heard of its peers, a host assumes their load.
  await setTimeout(1_100)
  run(REQUESTS / 3, true)
  placed = 0
  const before = process.cpuUsage()
  run(REQUESTS, false)
  const { user, system } = process.cpuUsage(before)
  if (placed < REQUESTS / 2) throw new Error(`only ${placed} of ${REQUESTS} requests were placed`)
  return (user + system) / REQUESTS
}

const { positionals } = parseArgs({ allowPositionals: true })
for (const engines of positionals.map(Number)) process.stdout.write(`${JSON.stringify({ engines, microsecondsPerRequest: Math.round(await measure(engines)) })}\n`)
process.exit(0)
