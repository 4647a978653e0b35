/**
 * In-memory peer streams between the daemons of a scenario.
 */
import type { PeerFrame } from '../../src/peer/gen/peer_pb.js'
import type { ConnectPeer, PeerServer, PeerStream } from '../../src/peer/types.js'
import type { Runtime } from '../../src/runtime/types.js'
import { createSubject, type Subject } from '../../src/stream/createSubject/index.js'
import type { SimulatedProcess } from '../createSimulatedProcess/index.js'

/** Delay of each frame. */
const LATENCY_MS = 1

/** The peer ports of one daemon. */
export interface HostPeerPorts {
  connectPeer: ConnectPeer
  servePeers: (onStream: (stream: PeerStream) => void, options: { address: string, port: number }) => Promise<PeerServer>
}

/** The peer network of a scenario. */
export interface PeerNetwork {
  /** Creates the ports of a daemon, whose address depends only on its host and role, so that it survives a restart. */
  createPorts: (host: string, role: string, process: SimulatedProcess) => HostPeerPorts
  /** Drops frames between two hosts without closing their streams. */
  cut: (a: string, b: string) => void
  heal: (a: string, b: string) => void
}

interface PeerListener {
  host: string
  process: SimulatedProcess
  onStream: (stream: PeerStream) => void
}

interface StreamEnd {
  host: string
  process: SimulatedProcess
  subject: Subject<PeerFrame>
}

/**
 * @name createPeerNetwork
 * @summary Creates a network without hosts.
 * @param runtime - The runtime of the simulation.
 * @returns The network.
 *
 * @example
 * const network = createPeerNetwork(runtime)
 * network.cut('host-1', 'host-2')
 */
export function createPeerNetwork (runtime: Runtime): PeerNetwork {
  const listeners = new Map<string, PeerListener>()
  const cutLinks = new Set<string>()
  const linkKey = (a: string, b: string): string => [a, b].sort().join(' ')

  function createStream (local: StreamEnd, remote: StreamEnd): PeerStream {
    return {
      frames: local.subject.stream,
      send (frame) {
        if (local.process.state() === 'killed' || cutLinks.has(linkKey(local.host, remote.host))) return
        runtime.setTimer(LATENCY_MS, () => remote.process.run(() => remote.subject.next(frame)))
      },
      [Symbol.dispose] () {
        local.subject.complete()
        runtime.setTimer(LATENCY_MS, () => remote.process.run(() => remote.subject.complete()))
      }
    }
  }

  function connect (host: string, process: SimulatedProcess, address: string): PeerStream {
    const caller: StreamEnd = { host, process, subject: createSubject() }
    const listener = listeners.get(address)
    if (listener === undefined || listener.process.state() === 'killed') {
      runtime.setTimer(LATENCY_MS, () => process.run(() => caller.subject.complete()))
      return createStream(caller, { ...caller, subject: createSubject() })
    }
    const callee: StreamEnd = { host: listener.host, process: listener.process, subject: createSubject() }
    if (!cutLinks.has(linkKey(host, listener.host))) {
      runtime.setTimer(LATENCY_MS, () => listener.process.run(() => listener.onStream(createStream(callee, caller))))
    }
    return createStream(caller, callee)
  }

  return {
    createPorts: (host, role, process) => ({
      connectPeer: address => connect(host, process, address),
      async servePeers (onStream) {
        const address = `${host}-${role}:1`
        listeners.set(address, { host, process, onStream })
        return { address, async [Symbol.asyncDispose] () { if (listeners.get(address)?.process === process) listeners.delete(address) } }
      }
    }),
    cut: (a, b) => { cutLinks.add(linkKey(a, b)) },
    heal: (a, b) => { cutLinks.delete(linkKey(a, b)) }
  }
}
