/**
 * Listening HTTP servers as owned resources.
 */
import http from 'node:http'
import type { AddressInfo } from 'node:net'

/** A listening server; disposal closes it and every connection. */
export interface ListeningServer extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  /** Takes no new connections and closes the idle ones; requests in progress go on. */
  stopAccepting: () => void
}

/** Starts an HTTP server, or what stands for one. */
export type Listen = (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  options: ListenOptions
) => Promise<ListeningServer>

/** Where and with which limits to listen. */
export interface ListenOptions {
  address: string
  port: number
  /** Limit of all header lines of one request together. */
  headerSizeBytes?: number
}

/**
 * @name listen
 * @summary Starts an HTTP server.
 * @param handler - Called for each request; a rejection destroys the connection.
 * @param options - Address, port and limits.
 * @returns The server once it listens.
 *
 * @example
 * await using server = await listen(async (request, response) => response.end('ok'), { address: '127.0.0.1', port: 0 })
 */
export async function listen (
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
  options: ListenOptions
): Promise<ListeningServer> {
  const { address, port, headerSizeBytes } = options
  const server = http.createServer({
    ...(headerSizeBytes === undefined ? {} : { maxHeaderSize: headerSizeBytes }),
    noDelay: true
  })
  server.on('request', (request, response) => {
    handler(request, response).catch(() => response.destroy())
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, resolve)
  })
  const bound = server.address() as AddressInfo
  return {
    address: `${address}:${bound.port}`,
    stopAccepting: () => { server.close() },
    [Symbol.asyncDispose]: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
