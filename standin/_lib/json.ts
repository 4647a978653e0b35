/**
 * Reads and sends JSON bodies in the HTTP servers of the stand-ins.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Reads the whole request body as JSON; `undefined` for an empty body. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}

/** Sends a response with a JSON body. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
