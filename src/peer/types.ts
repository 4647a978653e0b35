/**
 * Interface of the streams of frames between two daemons, independent of the transport.
 */
import type { Stream } from 'most'
import type { PeerFrame } from './gen/peer_pb.js'

/** One open stream to a peer; disposal closes it. */
export interface PeerStream extends Disposable {
  send: (frame: PeerFrame) => void
  /** Received frames; ends when the stream closes for any reason. */
  frames: Stream<PeerFrame>
}

/** Called for each frame sent or received, with its size on the wire in bytes. */
export type TrafficMeter = (direction: 'sent' | 'received', sizeBytes: number) => void

/** Opens a stream to the peer at `ip:port`. */
export type ConnectPeer = (address: string) => PeerStream

/** A server for the streams that peers open; disposal stops it. */
export interface PeerServer extends AsyncDisposable {
  /** `ip:port` that it listens on. */
  address: string
}
