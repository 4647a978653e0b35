/**
 * Notices that the caller of a request has closed its connection. Node.js reports it on the
 * response only after it has ended the connection too, two turns of the event loop later.
 */
import type { ServerResponse } from 'node:http'

/**
 * @name onCallerGone
 * @summary Calls a listener once, when the end of the caller's connection is read or when the response closes.
 * @param response - The response to the caller. A complete one closes as well.
 * @param listener - Called at once if the connection has ended already.
 *
 * @example
 * onCallerGone(response, () => controller.abort())
 */
export function onCallerGone (response: ServerResponse, listener: () => void): void {
  const { socket } = response.req
  const leave = (): void => {
    socket.off('end', leave)
    response.off('close', leave)
    listener()
  }
  if (socket.readableEnded || response.destroyed) return listener()
  socket.once('end', leave)
  response.once('close', leave)
}
