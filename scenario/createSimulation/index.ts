/**
 * The simulation that a scenario runs in: complete daemons, connected as in production, with
 * in-memory implementations of their ports and a clock that advances only when the scenario waits.
 */
import { createHash } from 'node:crypto'
import { startControl, type ControlDaemon } from '../../src/control/startControl/index.js'
import type { Daemon, DaemonPorts } from '../../src/daemon/types.js'
import { startEntry, type Entry } from '../../src/entry/startEntry/index.js'
import { createEventLog } from '../../src/event/createEventLog/index.js'
import type { ListedHost } from '../../src/hostList/types.js'
import type { Listen } from '../../src/http/listen/index.js'
import { withDeadline } from '../../src/runtime/withDeadline/index.js'
import type { ObjectStore } from '../../src/objectApi/types.js'
import { daemonSettingsSchema, type DaemonSettings } from '../../src/settings/types.js'
import { createMemoryObjectStore, type MemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime, type ManualRuntime } from '../../test/fakes/createManualRuntime.js'
import { createMemoryEngines, type MemoryEngines } from '../../test/fakes/createMemoryEngines.js'
import { createSimulatedProcess, type SimulatedProcess } from '../createSimulatedProcess/index.js'
import { createPeerNetwork, type PeerNetwork } from '../createPeerNetwork/index.js'
import { invokeHandler, type HandlerAnswer, type HandlerCall } from '../invokeHandler/index.js'
import { createMemoryServices, type MemoryServices } from '../_lib/createMemoryServices.js'
import { wrapEngineClient, type ProcessEngineClient } from '../_lib/wrapEngineClient.js'

/** Salt of every token hash in scenarios. */
const SALT = '00112233445566778899aabbccddeeff'

/** Operators in every daemon's settings. */
const OPERATORS = ['ana', 'ben', 'cam']

/** Port numbers in every daemon's settings; each HTTP handler is looked up by its port. */
const PORTS = { caller: 1, operator: 2 } as const

/** Default limit of a wait, on the simulated clock. */
const DEFAULT_WAIT_LIMIT_MS = 120_000

/** Step by which the clock advances between two checks of a condition. */
const WAIT_STEP_MS = 5

/** Time after which a watch without an answer counts as silent. */
const WATCH_LIMIT_MS = 6_000

/** Which program a daemon runs. */
export type Role = 'entry' | 'control'

/** A daemon that the scenario started. */
export interface SimulatedDaemon {
  role: Role
  host: string
  process: SimulatedProcess
  daemon: Daemon
  entry?: Entry
  engines: ProcessEngineClient
  handlers: Map<number, Parameters<Listen>[0]>
  /** Answers of this daemon, complete or still open. */
  answers: HandlerAnswer[]
  /** Every revision that came into force on this daemon, in order. */
  revisions: number[]
  stop: () => Promise<void>
}

/** The daemons of a scenario and the systems around them. */
export interface Simulation {
  runtime: ManualRuntime
  store: MemoryObjectStore
  engines: MemoryEngines
  services: MemoryServices
  network: PeerNetwork
  /** Hosts without a connection to the object API. */
  cutFromStore: Set<string>
  hosts: Map<string, ListedHost>
  daemons: SimulatedDaemon[]
  start: (role: Role, host: string, failureDomain: string) => Promise<SimulatedDaemon>
  /** The daemon that was started last with a role on a host; throws if there is none. */
  findDaemon: (role: Role, host: string) => SimulatedDaemon
  /** Sends an HTTP call to a port of a daemon; throws if nothing listens there. */
  call: (daemon: SimulatedDaemon, port: keyof typeof PORTS, call: HandlerCall) => HandlerAnswer
  /** Advances the clock until a condition holds; throws an error that names `what` after `withinMs`. */
  waitUntil: (what: string, condition: () => boolean, options?: { withinMs?: number }) => Promise<void>
}

/**
 * @name hashTokenOf
 * @summary Hashes the token of an account or operator, which is `<name>.<name>-secret`.
 * @param name - Name of the account or operator.
 * @returns The salted hash in the form that the configuration and the settings store.
 *
 * @example
 * hashTokenOf('ana')
 */
export function hashTokenOf (name: string): string {
  const hash = createHash('sha256').update(Buffer.from(SALT, 'hex')).update(`${name}-secret`).digest('hex')
  return `sha256:${SALT}:${hash}`
}

/**
 * @name createSimulation
 * @summary Creates a simulation without hosts.
 * @param options - `seed`, of every random choice.
 * @returns The simulation.
 *
 * @example
 * const simulation = createSimulation({ seed: 1 })
 * await simulation.start('entry', 'host-1', 'domain-a')
 */
export function createSimulation (options: { seed: number }): Simulation {
  const runtime = createManualRuntime({ seed: options.seed })
  const store = createMemoryObjectStore()
  const engines = createMemoryEngines({ runtime })
  const services = createMemoryServices()
  const network = createPeerNetwork(runtime)
  const cutFromStore = new Set<string>()
  const hosts = new Map<string, ListedHost>()
  const daemons: SimulatedDaemon[] = []

  async function start (role: Role, host: string, failureDomain: string): Promise<SimulatedDaemon> {
    const process = createSimulatedProcess(runtime)
    const handlers: SimulatedDaemon['handlers'] = new Map()
    const engineClient = wrapEngineClient(engines.client, process)
    const ports = { ...createPorts(host, role, process, handlers), engines: engineClient.client, services: process.wrap(services.client) }
    const settings = createSettings(host, failureDomain)
    const started = role === 'entry'
      ? await startEntry(settings, { runtime: process.runtime, ports })
      : await startControl(settings, { runtime: process.runtime, ports })
    const { daemon } = started
    const revisions: number[] = []
    daemon.holder.changes.observe(({ head }) => { revisions.push(head.revision) }).catch(() => {})
    const simulatedDaemon: SimulatedDaemon = {
      role,
      host,
      process,
      daemon,
      engines: engineClient,
      handlers,
      answers: [],
      revisions,
      stop: async () => await started[Symbol.asyncDispose](),
      ...(isEntry(started) ? { entry: started } : {})
    }
    daemons.push(simulatedDaemon)
    return simulatedDaemon
  }

  function createPorts (host: string, role: Role, process: SimulatedProcess, handlers: SimulatedDaemon['handlers']): DaemonPorts {
    const hostStore = interruptStoreCalls({ ...store, watch: createBoundedWatch(process), async [Symbol.asyncDispose] () {} }, () => cutFromStore.has(host))
    return {
      ...network.createPorts(host, role, process),
      createLog: logOptions => createEventLog({ ...logOptions, file: null, level: 'debug' }),
      store: process.wrap(hostStore),
      hostList: process.wrap({
        read: async () => ({ kind: 'listed' as const, hosts: [...hosts.values()] }),
        async [Symbol.asyncDispose] () {}
      }),
      async listen (handler, { address, port }) {
        handlers.set(port, handler)
        return { address: `${address}:${port}`, stopAccepting: () => { handlers.delete(port) }, whenClosed: async () => {}, async [Symbol.asyncDispose] () { handlers.delete(port) } }
      }
    }
  }

  /** A watch with the deadline that the object API's client sets. */
  function createBoundedWatch (process: SimulatedProcess): MemoryObjectStore['watch'] {
    return async (prefix, afterRevision, { signal }) => {
      using deadline = withDeadline(WATCH_LIMIT_MS, { runtime: process.runtime, parent: signal })
      const result = await store.watch(prefix, afterRevision, { signal: deadline.signal })
      const isSilent = deadline.signal.aborted && store.faults.silentWatches
      return isSilent ? { kind: 'silent', afterMs: WATCH_LIMIT_MS } : result
    }
  }

  return {
    runtime,
    store,
    engines,
    services,
    network,
    cutFromStore,
    hosts,
    daemons,
    start,
    findDaemon (role, host) {
      const found = daemons.findLast(daemon => daemon.role === role && daemon.host === host)
      if (found === undefined) throw new Error(`no ${role} was started on ${host}`)
      return found
    },
    call (daemon, port, call) {
      const handler = daemon.handlers.get(PORTS[port])
      if (handler === undefined || daemon.process.state() === 'killed') throw new Error(`${daemon.role} on ${daemon.host} does not listen`)
      const answer = invokeHandler(handler, call)
      daemon.answers.push(answer)
      return answer
    },
    async waitUntil (what, condition, { withinMs = DEFAULT_WAIT_LIMIT_MS } = {}) {
      const limitMs = runtime.monotonicMs() + withinMs
      await runtime.settle()
      while (!condition()) {
        if (runtime.monotonicMs() >= limitMs) throw new Error(`${what}: not within ${withinMs} ms`)
        await runtime.advance(WAIT_STEP_MS)
      }
    }
  }
}

/** An object store whose calls fail while the host is cut off from it. */
function interruptStoreCalls (store: ObjectStore, isUnreachable: () => boolean): ObjectStore {
  const unavailable = { kind: 'unavailable' as const, cause: 'no route' }
  const notApplied = { kind: 'notApplied' as const, cause: 'no route' }
  return {
    ...store,
    read: async key => isUnreachable() ? unavailable : await store.read(key),
    list: async prefix => isUnreachable() ? unavailable : await store.list(prefix),
    write: async (key, value, condition) => isUnreachable() ? notApplied : await store.write(key, value, condition),
    remove: async (key, condition) => isUnreachable() ? notApplied : await store.remove(key, condition),
    async watch (prefix, afterRevision, options) {
      const result = isUnreachable() ? unavailable : await store.watch(prefix, afterRevision, options)
      return isUnreachable() ? unavailable : result
    }
  }
}

function isEntry (started: Entry | ControlDaemon): started is Entry {
  return 'callerAddress' in started
}

function createSettings (host: string, failureDomain: string): DaemonSettings {
  return daemonSettingsSchema.parse({
    host,
    failureDomain,
    address: '127.0.0.1',
    ports: PORTS,
    objectApi: { url: 'http://127.0.0.1:1' },
    hostList: { url: 'http://127.0.0.1:1' },
    operators: OPERATORS.map(name => ({ name, tokenHash: hashTokenOf(name) })),
    shutdown: { balancerLagMs: 100, deadlineMs: 30_000 }
  })
}
