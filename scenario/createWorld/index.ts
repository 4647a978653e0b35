/**
 * The world of a scenario: whole daemons, wired as in their processes, over ports in memory and
 * a clock that moves only when the scenario waits.
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
import { createHostGate, type HostGate } from '../createHostGate/index.js'
import { createPeerNetwork, type PeerNetwork } from '../createPeerNetwork/index.js'
import { invokeHandler, type HandlerAnswer, type HandlerCall } from '../invokeHandler/index.js'
import { createMemoryServices, type MemoryServices } from '../_lib/createMemoryServices.js'
import { gateEngines, type GatedEngines } from '../_lib/gateEngines.js'

/** Salt of every token in scenarios. */
const SALT = '00112233445566778899aabbccddeeff'

/** Operators whose tokens every daemon knows. */
const OPERATORS = ['ana', 'ben', 'cam']

/** Ports that handlers of a host are found by. */
const PORTS = { caller: 1, operator: 2 } as const

/** Longest that a scenario waits for anything, on its own clock. */
const WAIT_LIMIT_MS = 120_000

/** Step in which time moves while something is waited for. */
const WAIT_STEP_MS = 5

/** Time after which a watch that has not answered is taken for silent. */
const WATCH_LIMIT_MS = 6_000

/** Role of a daemon. */
export type Role = 'entry' | 'control'

/** One daemon of a scenario. */
export interface WorldDaemon {
  role: Role
  host: string
  gate: HostGate
  daemon: Daemon
  entry?: Entry
  engines: GatedEngines
  handlers: Map<number, Parameters<Listen>[0]>
  /** Answers that this daemon has given or is giving. */
  answers: HandlerAnswer[]
  /** Every revision that came into force here. */
  revisions: number[]
  stop: () => Promise<void>
}

/** The world. */
export interface World {
  runtime: ManualRuntime
  store: MemoryObjectStore
  engines: MemoryEngines
  services: MemoryServices
  network: PeerNetwork
  /** Hosts that do not reach the object API. */
  cutFromStore: Set<string>
  hosts: Map<string, ListedHost>
  daemons: WorldDaemon[]
  start: (role: Role, host: string, failureDomain: string) => Promise<WorldDaemon>
  /** The daemon that runs now, or ran last, on a host. */
  find: (role: Role, host: string) => WorldDaemon
  call: (daemon: WorldDaemon, port: keyof typeof PORTS, call: HandlerCall) => HandlerAnswer
  /** Moves time on until a condition holds; fails with `what` when it does not in time. */
  until: (what: string, condition: () => boolean, options?: { withinMs?: number }) => Promise<void>
}

/**
 * @name tokenHashOf
 * @summary The salted hash of a name's token, which is `<name>.<name>-secret`.
 * @param name - Account or operator.
 * @returns The hash as configuration and settings keep it.
 *
 * @example
 * tokenHashOf('ana')
 */
export function tokenHashOf (name: string): string {
  const hash = createHash('sha256').update(Buffer.from(SALT, 'hex')).update(`${name}-secret`).digest('hex')
  return `sha256:${SALT}:${hash}`
}

/**
 * @name createWorld
 * @summary A world without hosts.
 * @param options - Seed of everything random.
 * @returns The world.
 *
 * @example
 * const world = createWorld({ seed: 1 })
 * await world.start('entry', 'host-1', 'domain-a')
 */
export function createWorld (options: { seed: number }): World {
  const runtime = createManualRuntime({ seed: options.seed })
  const store = createMemoryObjectStore()
  const engines = createMemoryEngines({ runtime })
  const services = createMemoryServices()
  const network = createPeerNetwork(runtime)
  const cutFromStore = new Set<string>()
  const hosts = new Map<string, ListedHost>()
  const daemons: WorldDaemon[] = []

  async function start (role: Role, host: string, failureDomain: string): Promise<WorldDaemon> {
    const gate = createHostGate(runtime)
    const handlers: WorldDaemon['handlers'] = new Map()
    const gated = gateEngines(engines.client, gate)
    const ports = { ...createPorts(host, role, gate, handlers), engines: gated.client, services: gate.wrap(services.client) }
    const settings = createSettings(host, failureDomain)
    const started = role === 'entry'
      ? await startEntry(settings, { runtime: gate.runtime, ports })
      : await startControl(settings, { runtime: gate.runtime, ports })
    const { daemon } = started
    const revisions: number[] = []
    daemon.holder.changes.observe(({ head }) => { revisions.push(head.revision) }).catch(() => {})
    const worldDaemon: WorldDaemon = {
      role,
      host,
      gate,
      daemon,
      engines: gated,
      handlers,
      answers: [],
      revisions,
      stop: async () => await started[Symbol.asyncDispose](),
      ...(isEntry(started) ? { entry: started } : {})
    }
    daemons.push(worldDaemon)
    return worldDaemon
  }

  function createPorts (host: string, role: Role, gate: HostGate, handlers: WorldDaemon['handlers']): DaemonPorts {
    const shared = reachStore({ ...store, watch: watchWithin(gate), async [Symbol.asyncDispose] () {} }, () => cutFromStore.has(host))
    return {
      ...network.portsFor(host, role, gate),
      createLog: logOptions => createEventLog({ ...logOptions, file: null, level: 'debug' }),
      store: gate.wrap(shared),
      hostList: gate.wrap({
        read: async () => ({ kind: 'listed' as const, hosts: [...hosts.values()] }),
        async [Symbol.asyncDispose] () {}
      }),
      async listen (handler, { address, port }) {
        handlers.set(port, handler)
        return { address: `${address}:${port}`, stopAccepting: () => { handlers.delete(port) }, async [Symbol.asyncDispose] () { handlers.delete(port) } }
      }
    }
  }

  /** The wait and the deadline that the object API's adapter puts on a watch. */
  function watchWithin (gate: HostGate): MemoryObjectStore['watch'] {
    return async (prefix, afterRevision, { signal }) => {
      using deadline = withDeadline(WATCH_LIMIT_MS, { runtime: gate.runtime, parent: signal })
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
    find (role, host) {
      const found = daemons.findLast(daemon => daemon.role === role && daemon.host === host)
      if (found === undefined) throw new Error(`no ${role} was started on ${host}`)
      return found
    },
    call (daemon, port, call) {
      const handler = daemon.handlers.get(PORTS[port])
      if (handler === undefined || daemon.gate.state() === 'killed') throw new Error(`${daemon.role} on ${daemon.host} does not listen`)
      const answer = invokeHandler(handler, call)
      daemon.answers.push(answer)
      return answer
    },
    async until (what, condition, { withinMs = WAIT_LIMIT_MS } = {}) {
      const limitMs = runtime.monotonicMs() + withinMs
      await runtime.settle()
      while (!condition()) {
        if (runtime.monotonicMs() >= limitMs) throw new Error(`${what}: not within ${withinMs} ms`)
        await runtime.advance(WAIT_STEP_MS)
      }
    }
  }
}

/** The object API as a host reaches it that can be cut off from it. */
function reachStore (store: ObjectStore, isCut: () => boolean): ObjectStore {
  const unavailable = { kind: 'unavailable' as const, cause: 'no route' }
  const notApplied = { kind: 'notApplied' as const, cause: 'no route' }
  return {
    ...store,
    read: async key => isCut() ? unavailable : await store.read(key),
    list: async prefix => isCut() ? unavailable : await store.list(prefix),
    write: async (key, value, condition) => isCut() ? notApplied : await store.write(key, value, condition),
    remove: async (key, condition) => isCut() ? notApplied : await store.remove(key, condition),
    async watch (prefix, afterRevision, options) {
      const result = isCut() ? unavailable : await store.watch(prefix, afterRevision, options)
      return isCut() ? unavailable : result
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
    operators: OPERATORS.map(name => ({ name, tokenHash: tokenHashOf(name) })),
    shutdown: { balancerLagMs: 100, deadlineMs: 30_000 }
  })
}
