/**
 * Peer streams in memory: frames arrive after a delay on the test's clock, and a test can partition
 * the network, silence streams and stop processes.
 */
import type { PeerFrame } from '../../src/peer/gen/peer_pb.js'
import type { ConnectPeer, PeerStream } from '../../src/peer/types.js'
import type { Runtime } from '../../src/runtime/types.js'
import { createSubject, type Subject } from '../../src/stream/createSubject/index.js'

/** Time from sending a frame to its delivery. */
const DELAY_MS = 1

/** A network with its faults. */
export interface PeerNetwork {
  /** The function that the daemon at an address connects with. */
  connectFrom: (from: string) => ConnectPeer
  /** Accepts the streams that are opened to an address. */
  listen: (address: string, accept: (stream: PeerStream) => void) => void
  /** Blocks frames between addresses of different groups: open streams stay open and silent. */
  partition: (groupOf: (address: string) => unknown) => void
  /** Streams that are open now stay open and deliver nothing more; new ones work. */
  silenceOpen: () => void
  /** Ends the process at an address: its streams end and new ones are refused. */
  stop: (address: string) => void
  /** Frames that were delivered, in order. */
  deliveredFrames: Array<{ from: string, frame: PeerFrame }>
}

/** One stream between two addresses, opened by `from`. */
interface Link {
  from: string
  to: string
  silent: boolean
  close: () => void
}

/** Creates a network that delivers every frame. */
export function createPeerNetwork (runtime: Runtime): PeerNetwork {
  const listeners = new Map<string, (stream: PeerStream) => void>()
  const open = new Set<Link>()
  const deliveredFrames: PeerNetwork['deliveredFrames'] = []
  let groupOf: (address: string) => unknown = () => 0

  const isConnected = (from: string, to: string): boolean => groupOf(from) === groupOf(to)

  /** The end of a stream at `from`: sends `outgoing` frames to `to` and receives `own` ones. */
  function createEndpoint ({ from, to, link, outgoing, own }: { from: string, to: string, link: Link, outgoing: Subject<PeerFrame>, own: Subject<PeerFrame> }): PeerStream {
    return {
      send (frame) {
        runtime.setTimer(DELAY_MS, () => {
          if (link.silent || !isConnected(from, to)) return
          deliveredFrames.push({ from, frame })
          outgoing.next(frame)
        })
      },
      frames: own.stream,
      [Symbol.dispose]: link.close
    }
  }

  return {
    deliveredFrames,
    connectFrom: from => to => {
      const [toConnector, toListener] = [createSubject<PeerFrame>(), createSubject<PeerFrame>()]
      const close = (): void => {
        toConnector.complete()
        toListener.complete()
        open.delete(link)
      }
      const accept = listeners.get(to)
      const link: Link = { from, to, silent: false, close }
      if (accept === undefined) runtime.setTimer(DELAY_MS, close)
      else if (isConnected(from, to)) {
        open.add(link)
        accept(createEndpoint({ from: to, to: from, link, outgoing: toConnector, own: toListener }))
      }
      return createEndpoint({ from, to, link, outgoing: toListener, own: toConnector })
    },
    listen: (address, accept) => { listeners.set(address, accept) },
    silenceOpen () {
      for (const link of open) link.silent = true
    },
    partition: next => { groupOf = next },
    stop (address) {
      listeners.delete(address)
      for (const link of open) if (link.from === address || link.to === address) link.close()
    }
  }
}
