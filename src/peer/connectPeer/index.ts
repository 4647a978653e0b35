/**
 * Opens peer streams over gRPC.
 */
import { Client, credentials } from '@grpc/grpc-js'
import { createSubject } from '../../stream/createSubject/index.js'
import { createPeerService } from '../_lib/createPeerService.js'
import type { PeerFrame } from '../gen/peer_pb.js'
import type { PeerStream, TrafficMeter } from '../types.js'

/** Largest frame that is accepted; a complete configuration must fit into one. */
export const MAX_FRAME_BYTES = 16 * 1_048_576

/**
 * @name connectPeer
 * @summary Opens a stream to a peer.
 * @param address - `ip:port` of its peer port.
 * @param options - `meter` is called for each frame.
 * @returns The stream. It connects in the background, and ends if the connection fails.
 *
 * @example
 * using stream = connectPeer('10.0.0.7:7000')
 * stream.send(frame)
 */
export function connectPeer (address: string, options: { meter?: TrafficMeter } = {}): PeerStream {
  const { path, requestSerialize, responseDeserialize } = createPeerService(options.meter ?? (() => {})).exchange
  const client = new Client(address, credentials.createInsecure(), { 'grpc.max_receive_message_length': MAX_FRAME_BYTES })
  const call = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize)
  const subject = createSubject<PeerFrame>()
  call.on('data', (frame: PeerFrame) => subject.next(frame))
  call.on('error', () => subject.complete())
  call.on('end', () => subject.complete())
  return {
    send: frame => { call.write(frame) },
    frames: subject.stream,
    [Symbol.dispose] () {
      call.cancel()
      client.close()
      subject.complete()
    }
  }
}
