/**
 * Stand-in of an engine of a plain service, as a process of its own so that it can be killed. It follows
 * PROTOCOL.md ("Engines"): echoes `Request-Id`, signs its answers, answers 421 when another instance is
 * expected. The path says how the answer is framed: `/orders/unframed/...` has no length and ends with its
 * connection; any other path has a length. Every run is written to the standard output.
 *
 * Arguments: IP PORT ID WORK_MS
 */
import http from 'node:http'

const [ip, port, id, workMs] = [process.argv[2], Number(process.argv[3]), process.argv[4], Number(process.argv[5])]
const born = Date.now()
const say = fields => process.stdout.write(`${JSON.stringify({ engine: id, born, ...fields })}\n`)

/** The whole body for a request: the confirmation of a booking, in lines. */
export const bodyFor = requestId => Array.from({ length: 20 }, (_, line) => `${line + 1}/20 booking ${requestId} roll ${String(line + 1).padStart(3, '0')} of vinyl\n`).join('')

const server = http.createServer((request, response) => {
  const requestId = request.headers['request-id']
  if (request.url === '/health') return response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end()
  const expected = request.headers['expect-instance']
  if (expected !== undefined && expected !== id) {
    return response.writeHead(421, { 'Instance-Id': id, 'Not-Executed': '1', ...(requestId === undefined ? {} : { 'Request-Id': requestId }), 'Content-Length': 0 }).end()
  }
  request.resume()
  request.once('end', async () => {
    say({ event: 'run', requestId, method: request.method, path: request.url })
    const body = bodyFor(requestId)
    const half = body.length / 2
    const isUnframed = request.url.startsWith('/orders/unframed/')
    const headers = { 'Request-Id': requestId, 'Server-Seal': `${id}.${requestId}`, 'Content-Type': 'text/plain', ...(isUnframed ? {} : { 'Content-Length': body.length }), Connection: 'close' }
    // Without a length and without chunks the end of the connection is the end of the answer.
    if (isUnframed) response.useChunkedEncodingByDefault = false
    response.removeHeader('transfer-encoding')
    response.writeHead(200, headers)
    response.write(body.slice(0, half))
    setTimeout(() => {
      response.end(body.slice(half))
      say({ event: 'answered', requestId })
    }, workMs)
  })
})
server.listen(port, ip, () => say({ event: 'listening' }))
