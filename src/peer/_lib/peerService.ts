/**
 * The peer service as `@grpc/grpc-js` wants it described, over the generated messages.
 */
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import type { ServiceDefinition } from '@grpc/grpc-js'
import { PeerFrameSchema, type PeerFrame } from '../gen/peer_pb.js'

const serialize = (frame: PeerFrame): Buffer => Buffer.from(toBinary(PeerFrameSchema, frame))
const deserialize = (bytes: Buffer): PeerFrame => fromBinary(PeerFrameSchema, bytes)

/** One bidirectional stream of frames. */
export const PEER_SERVICE = {
  exchange: {
    path: '/coltsfootlead.peer.Peer/Exchange',
    requestStream: true,
    responseStream: true,
    requestSerialize: serialize,
    requestDeserialize: deserialize,
    responseSerialize: serialize,
    responseDeserialize: deserialize
  }
} as const satisfies ServiceDefinition
