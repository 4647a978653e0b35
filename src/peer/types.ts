/**
 * Streams of frames between two daemons, whatever carries them.
 */
import type { Stream } from 'most'
import type { PeerFrame } from './gen/peer_pb.js'

/** One open stream to a peer; disposal closes it. */
export interface PeerStream extends Disposable {
  send: (frame: PeerFrame) => void
  /** Ends when the stream closes for whatever reason. */
  frames: Stream<PeerFrame>
}

/** Told of each frame that passes, with its size on the wire. */
export type TrafficMeter = (direction: 'sent' | 'received', sizeBytes: number) => void

/** Opens a stream to the peer at `ip:port`. */
export type ConnectPeer = (address: string) => PeerStream

/** Serves streams of peers that connect to this daemon. */
export interface PeerServer extends AsyncDisposable {
  address: string
}
