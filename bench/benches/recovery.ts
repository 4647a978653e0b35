/**
 * Recovery from faults under load: separate processes, real signals and the stand-ins' faults.
 */
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { pause, startCallers } from '../recovery/callers.js'
import { listScenarios, type Scenario } from '../recovery/scenarios.js'
import { readEvents } from '../startDeployment/index.js'
import { callControl, DETECTION, startFleet, type Fleet } from '../recovery/startFleet.js'
import { tally } from '../recovery/tally.js'

/** Faults of each kind. */
const FAULTS = 21

/** Callers that keep one request each in flight. */
const CALLERS = 12

/** Time after which no engine holds a sequence without a caller any more, in milliseconds. */
const HOLD_MS = 10_500

/** Runs every kind of fault, or those named in `RECOVERY_ONLY`, separated by commas. */
export async function run (): Promise<Record<string, unknown>> {
  const only = process.env.RECOVERY_ONLY?.split(',')
  const scenarios = listScenarios().filter(({ name }) => only?.includes(name) ?? true)
  await using fleet = await startFleet()
  const figures: Record<string, unknown> = {}
  for (const scenario of scenarios) figures[scenario.name] = await runScenario(scenario, fleet)
  await pause(HOLD_MS)
  const { firstTokenMs, betweenTokensMs, connectMs } = DETECTION
  const tookMs = Math.round(performance.now())
  return { detectionMs: Math.max(firstTokenMs, betweenTokensMs) + connectMs, callers: CALLERS, tookMs, ...figures, sequencesLeft: await fleet.sequences() }
}

async function runScenario (scenario: Scenario, fleet: Fleet): Promise<Record<string, unknown>> {
  const callers = startCallers(fleet, { name: scenario.name, count: CALLERS, runtime: createSystemRuntime() })
  await pause(500)
  for (let done = 0; done < FAULTS; done += scenario.atOnce) {
    const indexes = Array.from({ length: scenario.atOnce }, (_, index) => done + index).filter(index => index < FAULTS)
    await Promise.all(indexes.map(index => scenario.bringAbout(fleet, index)))
  }
  await callers.stop()
  const { bookings: booked } = await callControl(`http://${fleet.deployment.targets['orders-1']}/orders`, undefined, 'GET') as { bookings: Record<string, number> }
  const { answers, bookings } = callers
  const figures = tally({ faults: FAULTS, answers, bookings, rows: await fleet.rows(), booked, countsAll: scenario.countsAll ?? false })
  if (process.env.RECOVERY_TRACE) await trace(figures, fleet)
  return { ...figures, ...scenario.report?.() }
}

/** Prints the time line of the slowest answer to standard error. */
async function trace (figures: Record<string, unknown>, { deployment }: Fleet): Promise<void> {
  const request = String(figures.slowestId).split(':')[0]
  const events = (await Promise.all(deployment.entries.map(readEvents))).flat().filter(event => event.request === request)
  for (const { wallMs, host, name, ...fields } of events) console.error(wallMs, host, name, JSON.stringify(fields))
}
