/**
 * Notices that the caller of a request has closed its connection. Node.js reports it on the
 * response only after it has ended the connection too, two turns of the event loop later.
 */
import type { ServerResponse } from 'node:http'

/**
 * @name watchCaller
 * @summary Calls a listener once, when the end of the caller's connection is read or when the response closes.
 * @param response - The response to the caller; it closes when it is complete, too.
 * @param onGone - The listener; called at once if the connection has ended already.
 *
 * @example
 * watchCaller(response, () => controller.abort())
 */
export function watchCaller (response: ServerResponse, onGone: () => void): void {
  const { socket } = response.req
  const leave = (): void => {
    socket.off('end', leave)
    response.off('close', leave)
    onGone()
  }
  if (socket.readableEnded || response.destroyed) return onGone()
  socket.once('end', leave)
  response.once('close', leave)
}
