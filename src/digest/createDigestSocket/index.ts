/**
 * Sends digests as UDP datagrams. A lost one needs no resend, because the next digest replaces it.
 */
import { createSocket } from 'node:dgram'
import type { DigestSocket } from '../types.js'

/**
 * @name createDigestSocket
 * @summary Binds a UDP socket for digests.
 * @param options - Address and port; peers use the same port. Errors after the bind, such as failed sends, go to `onError`.
 * @returns The socket once it is bound.
 *
 * @example
 * await using socket = await createDigestSocket({ address: '10.1.0.40', port: 7340, onError })
 */
export async function createDigestSocket (options: { address: string, port: number, onError: (error: Error) => void }): Promise<DigestSocket> {
  const { address, port, onError } = options
  // Peers are named by their IP, so the resolver and its callback on a later tick are skipped.
  const socket = createSocket({ type: 'udp4', reuseAddr: true, lookup: (ip, _options, callback) => callback(null, ip, 4) })
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, address, () => {
      socket.removeListener('error', reject)
      resolve()
    })
  })
  socket.on('error', onError)
  return {
    send: (ip, bytes) => socket.send(bytes, port, ip, error => { if (error !== null) onError(error) }),
    onMessage: listener => { socket.on('message', (bytes, remote) => listener(remote.address, bytes)) },
    [Symbol.asyncDispose]: () => new Promise(resolve => { socket.close(() => resolve()) })
  }
}
