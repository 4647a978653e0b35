/**
 * Small helpers of the stand-ins' HTTP edges.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** The whole body as JSON; nothing for an empty one. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}

/** Answers with a JSON body. */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
