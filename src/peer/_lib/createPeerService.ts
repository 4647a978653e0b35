/**
 * Service definition for `@grpc/grpc-js` over the generated messages. Its serializers report the
 * size of each frame.
 */
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { PeerFrameSchema, type PeerFrame } from '../gen/peer_pb.js'
import type { TrafficMeter } from '../types.js'

/** Size of the gRPC message prefix and the HTTP/2 frame header that precede each message. */
const MESSAGE_OVERHEAD_SIZE_BYTES = 14

/** The service definition: one method with a bidirectional stream of frames. */
export function createPeerService (meter: TrafficMeter) {
  const serialize = (frame: PeerFrame): Buffer => {
    const bytes = Buffer.from(toBinary(PeerFrameSchema, frame))
    meter('sent', bytes.length + MESSAGE_OVERHEAD_SIZE_BYTES)
    return bytes
  }
  const deserialize = (bytes: Buffer): PeerFrame => {
    meter('received', bytes.length + MESSAGE_OVERHEAD_SIZE_BYTES)
    return fromBinary(PeerFrameSchema, bytes)
  }
  return {
    exchange: {
      path: '/coltsfootlead.peer.Peer/Exchange',
      requestStream: true as const,
      responseStream: true as const,
      requestSerialize: serialize,
      requestDeserialize: deserialize,
      responseSerialize: serialize,
      responseDeserialize: deserialize
    }
  }
}
