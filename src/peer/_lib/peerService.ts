/**
 * The peer service as `@grpc/grpc-js` wants it described, over the generated messages, with a
 * count of what passes.
 */
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { PeerFrameSchema, type PeerFrame } from '../gen/peer_pb.js'
import type { TrafficMeter } from '../types.js'

/** Bytes of the gRPC prefix and of the HTTP/2 frame header around each message. */
const FRAMING_SIZE_BYTES = 14

/** The service: one bidirectional stream of frames. */
export function createPeerService (meter: TrafficMeter) {
  const serialize = (frame: PeerFrame): Buffer => {
    const bytes = Buffer.from(toBinary(PeerFrameSchema, frame))
    meter('sent', bytes.length + FRAMING_SIZE_BYTES)
    return bytes
  }
  const deserialize = (bytes: Buffer): PeerFrame => {
    meter('received', bytes.length + FRAMING_SIZE_BYTES)
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
