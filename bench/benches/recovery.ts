/**
 * Recovery from faults under load, with separate processes, real signals and the stand-ins' faults.
 */
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { pause, startCallers } from '../recovery/callers.js'
import { listScenarios, type FaultScenario } from '../recovery/scenarios.js'
import { readEvents } from '../startDeployment/index.js'
import { callJson, DETECTION_DEADLINES, startFleet, type Fleet } from '../recovery/startFleet.js'
import { summarizeRecovery } from '../recovery/summarizeRecovery.js'

/** Faults injected of each kind. */
const FAULTS_PER_KIND = 21

/** Concurrent callers, each with one request in flight. */
const CALLERS = 12

/** Time after which engines must have freed every sequence without a caller, in milliseconds. */
const SEQUENCE_HOLD_MS = 10_500

/** Runs every kind of fault, or those named in `RECOVERY_ONLY`, separated by commas. */
export async function run (): Promise<Record<string, unknown>> {
  const only = process.env.RECOVERY_ONLY?.split(',')
  const scenarios = listScenarios().filter(({ name }) => only?.includes(name) ?? true)
  await using fleet = await startFleet()
  const figures: Record<string, unknown> = {}
  for (const scenario of scenarios) figures[scenario.name] = await runScenario(scenario, fleet)
  await pause(SEQUENCE_HOLD_MS)
  const { firstTokenMs, betweenTokensMs, connectMs } = DETECTION_DEADLINES
  const tookMs = Math.round(performance.now())
  return { detectionMs: Math.max(firstTokenMs, betweenTokensMs) + connectMs, callers: CALLERS, tookMs, ...figures, sequencesLeft: await fleet.sequences() }
}

async function runScenario (scenario: FaultScenario, fleet: Fleet): Promise<Record<string, unknown>> {
  const callers = startCallers(fleet, { name: scenario.name, count: CALLERS, runtime: createSystemRuntime() })
  await pause(500)
  for (let injected = 0; injected < FAULTS_PER_KIND; injected += scenario.concurrentFaults) {
    const indexes = Array.from({ length: scenario.concurrentFaults }, (_, index) => injected + index).filter(index => index < FAULTS_PER_KIND)
    await Promise.all(indexes.map(index => scenario.injectFault(fleet, index)))
  }
  await callers.stop()
  const { bookings: booked } = await callJson(`http://${fleet.deployment.targets['orders-1']}/orders`, undefined, 'GET') as { bookings: Record<string, number> }
  const { answers, bookings } = callers
  const figures = summarizeRecovery({ faults: FAULTS_PER_KIND, answers, bookings, rows: await fleet.rows(), booked, countsAllAnswers: scenario.countsAllAnswers ?? false })
  if (process.env.RECOVERY_TRACE) await printSlowestAnswer(figures, fleet)
  return { ...figures, ...scenario.report?.() }
}

/** Prints the events of the slowest answer to standard error. */
async function printSlowestAnswer (figures: Record<string, unknown>, { deployment }: Fleet): Promise<void> {
  const request = String(figures.slowestId).split(':')[0]
  const events = (await Promise.all(deployment.entries.map(readEvents))).flat().filter(event => event.request === request)
  for (const { wallMs, host, name, ...fields } of events) console.error(wallMs, host, name, JSON.stringify(fields))
}
