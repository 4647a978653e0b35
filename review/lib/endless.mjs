// Answers of engines to streams: sound ones, and bytes that are no answer and don't end.
import { sleep } from './platform.mjs'

/** What a link of 1,000 Mbit/s carries. */
const LINK_BYTES_PER_MS = 125_000

/** A sound stream of 80 events. */
export async function streamAnswer ({ request, response, headers }) {
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
  for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= 80 && !response.destroyed; id++) {
    response.write(`id: ${id}\ndata: ${'x'.repeat(48)}\n\n`)
    await sleep(25)
  }
  response.end()
}

/** An engine's answers in short pieces, until the caller closes; all of them share the engine's link. */
export function endlessBytes ({ status, type, pieceBytes }) {
  const chunk = Buffer.from(`${pieceBytes.toString(16)}\r\n${'z'.repeat(pieceBytes)}\r\n`)
  const block = Buffer.concat(Array.from({ length: Math.floor(65_536 / chunk.length) }, () => chunk))
  let atMs = Date.now()
  let allowedBytes = 0
  let sentBytes = 0
  return {
    sentBytes: () => sentBytes,
    async answer ({ response, headers, entry }) {
      entry.isEndless = true
      response.writeHead(status, { ...headers, 'Content-Type': type, 'Transfer-Encoding': 'chunked' })
      response.flushHeaders()
      const { socket } = response
      let wake = () => {}
      socket.on('drain', () => wake()).on('close', () => wake()).on('error', () => {})
      while (!socket.destroyed) {
        const nowMs = Date.now()
        allowedBytes = Math.min(LINK_BYTES_PER_MS * 20, allowedBytes + (nowMs - atMs) * LINK_BYTES_PER_MS)
        atMs = nowMs
        if (allowedBytes < block.length) {
          await sleep(1)
          continue
        }
        allowedBytes -= block.length
        sentBytes += block.length
        if (!socket.write(block)) await new Promise(resolve => { wake = resolve })
      }
    }
  }
}
