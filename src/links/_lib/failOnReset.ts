/**
 * Makes every reset of a connection an error. When a reset arrives together with the last bytes, libuv
 * reports an end of the input instead, as if the other side had closed.
 */
import type { Socket } from 'node:net'

/** Destroys a socket with `ECONNRESET` when its input ends by a reset; called before anything reads it. */
export function failOnReset (socket: Socket): void {
  socket.prependOnceListener('end', () => {
    if (isDisconnected(socket)) socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
  })
}

/** Whether a socket has no remote address any more; a connection that the other side has only closed keeps it. Node remembers the address once it was asked for. */
function isDisconnected (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}
