/**
 * Peer streams in memory: frames arrive after a delay on the test's clock, and links can be cut
 * or silenced.
 */
import type { PeerFrame } from '../../src/peer/gen/peer_pb.js'
import type { ConnectPeer, PeerStream } from '../../src/peer/types.js'
import type { Runtime } from '../../src/runtime/types.js'
import { createSubject, type Subject } from '../../src/stream/createSubject/index.js'

/** Time that a frame travels. */
const DELAY_MS = 1

/** A network with its switches. */
export interface PeerNetwork {
  /** What the daemon at an address dials with. */
  connectFrom: (from: string) => ConnectPeer
  listen: (address: string, accept: (stream: PeerStream) => void) => void
  /** Nothing passes between addresses of different groups: open streams stay open and silent. */
  partition: (groupOf: (address: string) => unknown) => void
  /** Streams that are open now stay open and carry nothing more; new ones work. */
  silenceOpenStreams: () => void
  /** The process at an address is gone: its streams end and new ones are refused. */
  stop: (address: string) => void
  /** Frames that passed, with their sizes left to the reader. */
  deliveredFrames: Array<{ from: string, frame: PeerFrame }>
}

interface Link {
  from: string
  to: string
  silent: boolean
  close: () => void
}

/** A network where everything passes. */
export function createPeerNetwork (runtime: Runtime): PeerNetwork {
  const listeners = new Map<string, (stream: PeerStream) => void>()
  const open = new Set<Link>()
  const passed: PeerNetwork['deliveredFrames'] = []
  let groupOf: (address: string) => unknown = () => 0

  const passes = (from: string, to: string): boolean => groupOf(from) === groupOf(to)

  function makeEnd ({ from, to, link, other, own }: { from: string, to: string, link: Link, other: Subject<PeerFrame>, own: Subject<PeerFrame> }): PeerStream {
    return {
      send (frame) {
        runtime.setTimer(DELAY_MS, () => {
          if (link.silent || !passes(from, to)) return
          passed.push({ from, frame })
          other.next(frame)
        })
      },
      frames: own.stream,
      [Symbol.dispose]: link.close
    }
  }

  return {
    deliveredFrames: passed,
    connectFrom: from => to => {
      const [near, far] = [createSubject<PeerFrame>(), createSubject<PeerFrame>()]
      const close = (): void => {
        near.complete()
        far.complete()
        open.delete(link)
      }
      const accept = listeners.get(to)
      const link: Link = { from, to, silent: false, close }
      if (accept === undefined) runtime.setTimer(DELAY_MS, close)
      else if (passes(from, to)) {
        open.add(link)
        accept(makeEnd({ from: to, to: from, link, other: near, own: far }))
      }
      return makeEnd({ from, to, link, other: far, own: near })
    },
    listen: (address, accept) => { listeners.set(address, accept) },
    silenceOpenStreams () {
      for (const link of open) link.silent = true
    },
    partition: next => { groupOf = next },
    stop (address) {
      listeners.delete(address)
      for (const link of open) if (link.from === address || link.to === address) link.close()
    }
  }
}
