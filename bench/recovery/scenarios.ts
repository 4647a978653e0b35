/**
 * The kinds of fault of the recovery bench; each injects a fault and undoes it.
 */
import { callJson, type Fleet, type FleetEngine } from './startFleet.js'
import { pause } from './callers.js'

/** Entries that shut down at the same time. */
const CONCURRENT_SHUTDOWNS = 2

/** One kind of fault. */
export interface FaultScenario {
  name: string
  /** Number of faults injected at the same time. */
  concurrentFaults: number
  /** Whether every answer counts as affected, or only those with a broken stream or a second attempt. */
  countsAllAnswers?: boolean
  /** Injects the fault with this index, and returns once it is undone. */
  injectFault: (fleet: Fleet, index: number) => Promise<void>
  /** Additional figures, read at the end. */
  report?: () => Record<string, unknown>
}

/** Picks engines in turn, so that consecutive indexes hit different stages. */
function pickEngine ({ engines }: Fleet, index: number): FleetEngine {
  const replicas = engines.length / 3
  return engines[(index % 3) * replicas + Math.floor(index / 3) % replicas]!
}

async function killStage (fleet: Fleet, index: number): Promise<void> {
  const engine = pickEngine(fleet, index)
  engine.process.child.kill('SIGKILL')
  await engine.process.exited
  await pause(200)
  await fleet.restartEngine(engine)
  await pause(600)
}

async function freezeStage (fleet: Fleet, index: number): Promise<void> {
  const { child } = pickEngine(fleet, index).process
  child.kill('SIGSTOP')
  await pause(1_500)
  child.kill('SIGCONT')
  await pause(400)
}

async function silenceConnections (fleet: Fleet, index: number): Promise<void> {
  await fleet.setFaults(pickEngine(fleet, index), { silenceOpen: true })
  await pause(500)
}

async function degradeLink (fleet: Fleet, index: number): Promise<void> {
  const engine = pickEngine(fleet, index)
  await fleet.setFaults(engine, { linkDelayMs: 3_000 })
  await pause(700)
  await fleet.setFaults(engine, { linkDelayMs: 0 })
  await pause(300)
}

async function killEntry (fleet: Fleet): Promise<void> {
  const entry = fleet.entries.shift()!
  entry.child.kill('SIGKILL')
  await entry.exited
  await fleet.restartEntry(entry)
  await pause(100)
}

/** Shuts down an entry; the load balancer still sends to it for 100 ms. */
async function shutDownEntry (fleet: Fleet, index: number, exits: Array<number | string>): Promise<void> {
  const entry = fleet.entries[index % CONCURRENT_SHUTDOWNS]!
  entry.child.kill('SIGTERM')
  await pause(100)
  fleet.entries.splice(fleet.entries.indexOf(entry), 1)
  exits.push(await entry.exited)
  await fleet.restartEntry(entry)
}

async function stopStore ({ deployment }: Fleet): Promise<void> {
  await callJson(`${deployment.objectApiUrl}/faults`, { down: true })
  await pause(400)
  await callJson(`${deployment.objectApiUrl}/faults`, { down: false })
  await pause(100)
}

/** Marks an engine as leaving, gives it 1.5 s to finish its work, and replaces it. */
async function replaceLeavingEngine (fleet: Fleet, index: number): Promise<void> {
  const engine = pickEngine(fleet, index)
  const host = { name: engine.name, failureDomain: 'a', address: engine.address, state: 'leaving' }
  await callJson(`${fleet.deployment.hostListUrl}/hosts/${engine.name}`, host, 'PUT')
  await fleet.setFaults(engine, { leaving: true })
  await pause(1_500)
  engine.process.child.kill('SIGKILL')
  await engine.process.exited
  await fleet.restartEngine(engine)
  await pause(700)
}

/** Lists all kinds of fault in the order in which the bench runs them. */
export function listScenarios (): FaultScenario[] {
  const exits: Array<number | string> = []
  return [
    { name: 'stageKill', concurrentFaults: 3, injectFault: killStage },
    { name: 'stageFreeze', concurrentFaults: 3, injectFault: freezeStage },
    { name: 'silentConnection', concurrentFaults: 1, injectFault: silenceConnections },
    { name: 'linkDegraded', concurrentFaults: 2, injectFault: degradeLink },
    { name: 'entryKill', concurrentFaults: 2, injectFault: killEntry },
    {
      name: 'entryShutdown',
      concurrentFaults: CONCURRENT_SHUTDOWNS,
      countsAllAnswers: true,
      injectFault: (fleet, index) => shutDownEntry(fleet, index, exits),
      report: () => ({ exitCodes: [...new Set(exits)] })
    },
    { name: 'storeOutage', concurrentFaults: 1, countsAllAnswers: true, injectFault: stopStore },
    { name: 'targetLeaving', concurrentFaults: 3, countsAllAnswers: true, injectFault: replaceLeavingEngine }
  ]
}
