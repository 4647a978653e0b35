/**
 * Peer streams between the hosts of a scenario, in memory.
 */
import type { PeerFrame } from '../../src/peer/gen/peer_pb.js'
import type { ConnectPeer, PeerServer, PeerStream } from '../../src/peer/types.js'
import type { Runtime } from '../../src/runtime/types.js'
import { createSubject, type Subject } from '../../src/stream/createSubject/index.js'
import type { HostGate } from '../createHostGate/index.js'

/** Time of a frame on its way. */
const LATENCY_MS = 1

/** What a host sees of the network. */
export interface HostPeerPorts {
  connectPeer: ConnectPeer
  servePeers: (onStream: (stream: PeerStream) => void, options: { address: string, port: number }) => Promise<PeerServer>
}

/** The network. */
export interface PeerNetwork {
  /** A daemon keeps its address when it is started again. */
  portsFor: (host: string, role: string, gate: HostGate) => HostPeerPorts
  /** Frames between two hosts are lost; their streams stay open. */
  cut: (a: string, b: string) => void
  heal: (a: string, b: string) => void
}

interface Acceptor {
  host: string
  gate: HostGate
  onStream: (stream: PeerStream) => void
}

interface End {
  host: string
  gate: HostGate
  subject: Subject<PeerFrame>
}

/**
 * @name createPeerNetwork
 * @summary A network without hosts.
 * @param runtime - The runtime of the scenario.
 * @returns The network.
 *
 * @example
 * const network = createPeerNetwork(runtime)
 * network.cut('host-1', 'host-2')
 */
export function createPeerNetwork (runtime: Runtime): PeerNetwork {
  const acceptors = new Map<string, Acceptor>()
  const cuts = new Set<string>()
  const linkOf = (a: string, b: string): string => [a, b].sort().join(' ')

  function streamOf (own: End, other: End): PeerStream {
    return {
      frames: own.subject.stream,
      send (frame) {
        if (own.gate.state() === 'killed' || cuts.has(linkOf(own.host, other.host))) return
        runtime.setTimer(LATENCY_MS, () => other.gate.run(() => other.subject.next(frame)))
      },
      [Symbol.dispose] () {
        own.subject.complete()
        runtime.setTimer(LATENCY_MS, () => other.gate.run(() => other.subject.complete()))
      }
    }
  }

  function connect (host: string, gate: HostGate, address: string): PeerStream {
    const caller: End = { host, gate, subject: createSubject() }
    const acceptor = acceptors.get(address)
    if (acceptor === undefined || acceptor.gate.state() === 'killed') {
      runtime.setTimer(LATENCY_MS, () => gate.run(() => caller.subject.complete()))
      return streamOf(caller, { ...caller, subject: createSubject() })
    }
    const callee: End = { host: acceptor.host, gate: acceptor.gate, subject: createSubject() }
    if (!cuts.has(linkOf(host, acceptor.host))) {
      runtime.setTimer(LATENCY_MS, () => acceptor.gate.run(() => acceptor.onStream(streamOf(callee, caller))))
    }
    return streamOf(caller, callee)
  }

  return {
    portsFor: (host, role, gate) => ({
      connectPeer: address => connect(host, gate, address),
      async servePeers (onStream) {
        const address = `${host}-${role}:1`
        acceptors.set(address, { host, gate, onStream })
        return { address, async [Symbol.asyncDispose] () { if (acceptors.get(address)?.gate === gate) acceptors.delete(address) } }
      }
    }),
    cut: (a, b) => { cuts.add(linkOf(a, b)) },
    heal: (a, b) => { cuts.delete(linkOf(a, b)) }
  }
}
