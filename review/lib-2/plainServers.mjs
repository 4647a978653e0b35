/**
 * Stand-ins of engines of a plain service within the process of a case (PROTOCOL.md, "Engines"; NEWS.md): while an engine
 * is in need it names in its answers the requests a second that it takes from all machines together.
 */
import http from 'node:http'
import { findFreePort, pickNetwork } from './gateways.mjs'

const HEARTBEAT_MS = 1_200

export async function startPlainServers ({ store, service, count, zones, workMs }) {
  const network = await pickNetwork()
  const engines = []
  const runs = new Map()
  let limitPerS

  function serve (engine, request, response) {
    const requestId = request.headers['request-id']
    const named = limitPerS === undefined ? {} : { 'Server-Limit': String(limitPerS) }
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== engine.id) {
      return response.writeHead(421, { 'Not-Executed': '1', 'Instance-Id': engine.id, ...(requestId === undefined ? {} : { 'Request-Id': requestId }), 'Content-Length': 0, Connection: 'close' }).end()
    }
    request.resume()
    request.once('end', () => {
      runs.set(requestId, [...runs.get(requestId) ?? [], { engineId: engine.id, atMs: Date.now() }])
      setTimeout(() => {
        const body = `done ${requestId}\n`
        response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': `${engine.id}.${requestId}`, ...named, 'Content-Length': body.length, Connection: 'close' }).end(body)
      }, workMs)
    })
  }

  for (let index = 0; index < count; index++) {
    const ip = `${network}.${index + 1}`
    const engine = { id: `i-${service}-${index + 1}-${Math.random().toString(16).slice(2, 10)}`, ip, port: await findFreePort(ip), zone: zones[index % zones.length], born: Date.now(), beats: 0 }
    engine.server = http.createServer((request, response) => serve(engine, request, response))
    await new Promise(resolve => engine.server.listen(engine.port, ip, resolve))
    engines.push(engine)
  }
  const beat = () => {
    for (const engine of engines) store.put('servers', engine.id, { service, address: `${engine.ip}:${engine.port}`, zone: engine.zone, version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: ++engine.beats, born: engine.born })
  }
  beat()
  const heartbeat = setInterval(beat, HEARTBEAT_MS)
  return {
    engines,
    runs,
    nameLimit (perS) { limitPerS = perS },
    close () {
      clearInterval(heartbeat)
      for (const engine of engines) { engine.server.close(); engine.server.closeAllConnections() }
    }
  }
}
