/**
 * The kinds of fault of the recovery bench: each brings about one fault and undoes it.
 */
import { callControl, type Fleet, type FleetEngine } from './startFleet.js'
import { pause } from './callers.js'

/** Entries that are shut down at the same time. */
const ENTRIES_AT_ONCE = 2

/** One kind of fault. */
export interface Scenario {
  name: string
  /** Faults brought about at the same time. */
  atOnce: number
  /** Whether every answer under way counts as met by the fault. */
  countsAll?: boolean
  /** Brings about the `index`-th fault, and returns once it is undone. */
  bringAbout: (fleet: Fleet, index: number) => Promise<void>
  /** Facts to report besides, at the end. */
  report?: () => Record<string, unknown>
}

/** Engines in turn, stage after stage. */
function engineAt ({ engines }: Fleet, index: number): FleetEngine {
  const replicas = engines.length / 3
  return engines[(index % 3) * replicas + Math.floor(index / 3) % replicas]!
}

async function killStage (fleet: Fleet, index: number): Promise<void> {
  const engine = engineAt(fleet, index)
  engine.process.child.kill('SIGKILL')
  await engine.process.exited
  await pause(200)
  await fleet.restartEngine(engine)
  await pause(600)
}

async function freezeStage (fleet: Fleet, index: number): Promise<void> {
  const { child } = engineAt(fleet, index).process
  child.kill('SIGSTOP')
  await pause(1_500)
  child.kill('SIGCONT')
  await pause(400)
}

async function silenceConnections (fleet: Fleet, index: number): Promise<void> {
  await fleet.setFaults(engineAt(fleet, index), { silenceOpen: true })
  await pause(500)
}

async function degradeLink (fleet: Fleet, index: number): Promise<void> {
  const engine = engineAt(fleet, index)
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

/** Asks an entry to stop while the balancer still sends to it for a while. */
async function shutDownEntry (fleet: Fleet, index: number, exits: Array<number | string>): Promise<void> {
  const entry = fleet.entries[index % ENTRIES_AT_ONCE]!
  entry.child.kill('SIGTERM')
  await pause(100)
  fleet.entries.splice(fleet.entries.indexOf(entry), 1)
  exits.push(await entry.exited)
  await fleet.restartEntry(entry)
}

async function stopStore ({ deployment }: Fleet): Promise<void> {
  await callControl(`${deployment.objectApiUrl}/faults`, { down: true })
  await pause(400)
  await callControl(`${deployment.objectApiUrl}/faults`, { down: false })
  await pause(100)
}

/** An engine that leaves, ends its work, and is replaced. */
async function leave (fleet: Fleet, index: number): Promise<void> {
  const engine = engineAt(fleet, index)
  const host = { name: engine.name, failureDomain: 'a', address: engine.address, state: 'leaving' }
  await callControl(`${fleet.deployment.hostListUrl}/hosts/${engine.name}`, host, 'PUT')
  await fleet.setFaults(engine, { leaving: true })
  await pause(1_500)
  engine.process.child.kill('SIGKILL')
  await engine.process.exited
  await fleet.restartEngine(engine)
  await pause(700)
}

/** All kinds of fault, in the order in which they are run. */
export function listScenarios (): Scenario[] {
  const exits: Array<number | string> = []
  return [
    { name: 'stageKill', atOnce: 3, bringAbout: killStage },
    { name: 'stageFreeze', atOnce: 3, bringAbout: freezeStage },
    { name: 'silentConnection', atOnce: 1, bringAbout: silenceConnections },
    { name: 'linkDegraded', atOnce: 2, bringAbout: degradeLink },
    { name: 'entryKill', atOnce: 2, bringAbout: killEntry },
    {
      name: 'entryShutdown',
      atOnce: ENTRIES_AT_ONCE,
      countsAll: true,
      bringAbout: (fleet, index) => shutDownEntry(fleet, index, exits),
      report: () => ({ exitCodes: [...new Set(exits)] })
    },
    { name: 'storeOutage', atOnce: 1, countsAll: true, bringAbout: stopStore },
    { name: 'targetLeaving', atOnce: 3, countsAll: true, bringAbout: leave }
  ]
}
