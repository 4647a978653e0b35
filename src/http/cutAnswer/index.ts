/**
 * Ends an answer early, so that its reader cannot take it for whole.
 */
import type { ServerResponse } from 'node:http'

/**
 * @name cutAnswer
 * @summary Destroys the connection of an answer. One without chunks, as HTTP/1.0 has them, is reset: a plain close would be its end.
 * @param response - The answer.
 *
 * @example
 * if (response.headersSent) cutAnswer(response)
 */
export function cutAnswer (response: ServerResponse): void {
  const { socket } = response
  const isBegun = response.headersSent && !response.writableEnded
  if (isBegun && !response.chunkedEncoding && socket !== null && !socket.destroyed) socket.resetAndDestroy()
  response.destroy()
}
