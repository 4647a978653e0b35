/**
 * gRPC server on the peer port, for the streams that other daemons open.
 */
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'
import { createSubject } from '../../stream/createSubject/index.js'
import { createPeerService } from '../_lib/createPeerService.js'
import { MAX_FRAME_BYTES } from '../connectPeer/index.js'
import type { PeerFrame } from '../gen/peer_pb.js'
import type { PeerServer, PeerStream, TrafficMeter } from '../types.js'

/**
 * @name servePeers
 * @summary Listens for peers.
 * @param onStream - Called with each stream that a peer opens.
 * @param options - Address and port to listen on; `meter` is called for each frame.
 * @returns The server, once it is listening.
 * @throws The bind error, if the address and port are not available.
 *
 * @example
 * await using server = await servePeers(stream => node.accept(stream), { address: '127.0.0.1', port: 0 })
 */
export async function servePeers (
  onStream: (stream: PeerStream) => void,
  options: { address: string, port: number, meter?: TrafficMeter }
): Promise<PeerServer> {
  const server = new Server({ 'grpc.max_receive_message_length': MAX_FRAME_BYTES })
  server.addService(createPeerService(options.meter ?? (() => {})), {
    exchange: (call: ServerDuplexStream<PeerFrame, PeerFrame>) => onStream(toPeerStream(call))
  })
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(`${options.address}:${options.port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
      if (error) reject(error)
      else resolve(boundPort)
    })
  })
  return {
    address: `${options.address}:${port}`,
    async [Symbol.asyncDispose] () { server.forceShutdown() }
  }
}

function toPeerStream (call: ServerDuplexStream<PeerFrame, PeerFrame>): PeerStream {
  const subject = createSubject<PeerFrame>()
  call.on('data', (frame: PeerFrame) => subject.next(frame))
  call.on('error', () => subject.complete())
  call.on('cancelled', () => subject.complete())
  call.on('end', () => {
    call.end()
    subject.complete()
  })
  return {
    send: frame => { call.write(frame) },
    frames: subject.stream,
    [Symbol.dispose] () {
      call.end()
      subject.complete()
    }
  }
}
