// Stand-in of an engine of a plain service: it registers in the store and writes there every heartbeat,
// checks `Expect-Instance`, answers with its seal, and says `Server-Leaving` once it leaves.
import http from 'node:http'

export const HEARTBEAT_MS = 1_200
let count = 0

/** `wrap` may put a port of its own before the engine; it returns that port's address. */
export async function startEngine (store, { service, zone, answer, slots = 6, extra = {}, wrap = async address => address }) {
  const id = `i-${process.pid.toString(16)}${(++count).toString(16).padStart(4, '0')}`
  const born = Date.now()
  let state = 'ready'
  let isListed = true
  let isLeaving = false
  let sequence = 0
  const received = []
  const server = http.createServer(async (request, response) => {
    response.on('error', () => {})
    let body = Buffer.alloc(0)
    for await (const chunk of request) body = Buffer.concat([body, chunk])
    const leaving = isLeaving ? { 'Server-Leaving': '1' } : {}
    const requestId = request.headers['request-id']
    if (request.url === '/report') return json(response, { stage: 'both', models: [], busy: false, sequence: 0, born, num_waiting: 0, num_running: 0, kv_used: 0, kv_total: 1 })
    if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== id) {
      response.writeHead(421, { 'Request-Id': requestId, 'Not-Executed': '1', 'Content-Length': 0, ...leaving })
      return response.end()
    }
    const entry = { requestId, id, service, atMs: Date.now(), tenant: request.headers.tenant, path: request.url, ended: undefined }
    received.push(entry)
    response.once('close', () => { entry.endedMs = Date.now() })
    await answer({ request, response, requestId, entry, headers: { 'Request-Id': requestId, 'Server-Seal': `seal.${id}.${requestId}`, ...leaving } })
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = await wrap(`127.0.0.1:${server.address().port}`)
  const beat = () => {
    if (!isListed) return
    store.put('servers', id, { service, address, zone, version: 'v1', slots, state, cold_remaining_ms: 0, sequence: ++sequence, born, ...extra })
  }
  const timer = setInterval(beat, HEARTBEAT_MS)
  beat()
  return {
    id,
    address,
    received,
    beat,
    drain () { state = 'draining'; isLeaving = true; beat() },
    /** Leaves without reporting `draining`: the entry is removed, and the engine goes on serving for a while. */
    removeEntry () { isListed = false; isLeaving = true; store.remove('servers', id) },
    close () { clearInterval(timer); server.close(); server.closeAllConnections() }
  }
}

function json (response, body) {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
  response.end(bytes)
}

/** A whole answer with a length, after work of a time between two. */
export const plainAnswer = (workMs, maxWorkMs = workMs) => async ({ response, requestId, headers }) => {
  await new Promise(resolve => setTimeout(resolve, workMs + Math.random() * (maxWorkMs - workMs)))
  const body = `answer to ${requestId}\n`.padEnd(800, '.')
  response.writeHead(200, { ...headers, 'Content-Type': 'text/plain', 'Content-Length': body.length })
  response.end(body)
}
