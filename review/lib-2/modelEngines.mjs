/**
 * Stand-ins of model engines (PROTOCOL.md, "Requests" and "Engines"; NEWS.md): each holds the layers that it was
 * ordered to hold, checks `Expect-Instance` and `Hop-Count`, streams events with increasing ids in chunks, and goes on
 * after `Last-Event-Id`. A prompt with the part `deadlyPart` (not as its last) crashes each engine that begins to write an
 * answer on it. A crash closes all connections and the port; the engine is back after some seconds, empty, under a new id.
 * An engine that leaves says so in all its answers, serves on for `drain_ms`, and exits once nothing is left to do.
 */
import http from 'node:http'
import { BOUNDS, findFreePort, pickNetwork } from './gateways.mjs'

const FIRST_EVENT_MS = 80
const EVENT_MS = 30
const EVENTS = 50
const DOWN_MS = 3_000
const HEARTBEAT_MS = 1_200
const LOAD_MS = 1_500

export function eventText (requestId, id) {
  return `id: ${id}\ndata: piece ${id} of ${requestId}\n\n`
}

export const wholeStream = (requestId, events = EVENTS) => Array.from({ length: events }, (_, index) => eventText(requestId, index + 1)).join('')

/** A configuration with one streaming route before a model of which each engine can hold all layers. */
export const modelConfiguration = service => ({
  version: 7,
  routes: [{ name: 'wrap-brief', host: 'desk.example', path_prefix: '/briefs/', kind: 'streaming', timeout_ms: 20000, target_latency_ms: 500, priority: 1, service, max_attempts: 2, public: false, sticky: true, resumable: true, target_gap_ms: 200 }],
  services: [{
    name: service,
    health_path: '/health',
    max_connections: 1058,
    protocol: 'h1',
    tls: false,
    engine: {
      slots: 134,
      kv_capacity_tokens: 69791,
      kv_token_bytes: 845373,
      link_mbps: 480000,
      stride: 2,
      models: [{ name: 'model', pace: 1, load_time_s: LOAD_MS / 1_000, warmup_s: 1 }],
      step_ms: 0.85,
      per_seq_ms: 0.0055,
      context_per_k: 0.0073,
      read_per_s: 196000,
      pairs_per_m: 0.166,
      chunk: 512,
      report_lag_ms: 200,
      loads_per_s: 0,
      loads_at_once: 6,
      delays: [],
      usual: { prompt: 772, answer: 100 },
      layers: 20,
      layer_mb: 1750,
      activation_bytes: 42268,
      pipe_mbps: 11000,
      kinds: [{ name: 'h100', megabytes: 72000, pace: 1.4, read_factor: 1 }]
    }
  }],
  limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants: [{ name: 'tenant-1', api_keys: ['key-of-tenant-1'], priority: 1 }]
})

export async function startModelEngines ({ store, service, count, zones, kind, record, deadlyPart, events = EVENTS, isUnframed = false }) {
  const engines = []
  /** Runs by request id: engine, time, and how they ended. */
  const runs = new Map()
  /** Times of the crashes that the part has caused, in milliseconds. */
  const deadlyCrashesMs = []
  let incarnations = 0
  let hasServed = false
  let isClosed = false

  async function start (engine) {
    engine.id = `i-${service}-${engine.index}-${++incarnations}`
    engine.born = Date.now()
    engine.running = 0
    engine.leavingSinceMs = undefined
    Object.assign(engine, { layers: undefined, orders: 0, isBusy: false, isUp: true, sockets: new Set() })
    engine.server = http.createServer((request, response) => { serve(engine, request, response) })
    engine.server.on('connection', socket => { engine.sockets.add(socket); socket.once('close', () => engine.sockets.delete(socket)) })
    await new Promise(resolve => engine.server.listen(engine.port, engine.ip, resolve))
    beat(engine)
  }

  function beat (engine) {
    if (!engine.isUp || isClosed) return
    store.put('servers', engine.id, {
      service,
      address: `${engine.ip}:${engine.port}`,
      zone: engine.zone,
      version: 'v1',
      slots: 134,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++engine.beats,
      born: engine.born,
      stage: 'both',
      models: [{ name: 'model', version: 1, adapters: [] }],
      kind,
      layers: engine.layers === undefined ? null : { ...engine.layers, version: 1 }
    })
  }

  function crash (engine, cause) {
    if (!engine.isUp) return
    engine.isUp = false
    record(`engine ${engine.id} crashes: ${cause}`)
    const { id } = engine
    engine.server.close()
    for (const socket of engine.sockets) socket.destroy()
    setTimeout(() => store.remove('servers', id), 3 * HEARTBEAT_MS)
    setTimeout(async () => {
      if (isClosed) return
      await start(engine)
      record(`engine ${engine.id} has started at the address of ${id}`)
    }, DOWN_MS)
  }

  /** The engine reports that it leaves, serves on for `drain_ms`, and exits as soon as it has nothing left to do. */
  function leave (engine) {
    engine.leavingSinceMs = Date.now()
    record(`engine ${engine.id} reports draining`)
    beat(engine)
    setTimeout(() => endIfIdle(engine), BOUNDS.drain_ms)
  }

  function endIfIdle (engine) {
    const isDue = engine.isUp && engine.leavingSinceMs !== undefined && engine.running === 0 && Date.now() - engine.leavingSinceMs >= BOUNDS.drain_ms
    if (!isDue) return
    engine.isUp = false
    record(`engine ${engine.id} exits`)
    engine.server.close()
    for (const socket of engine.sockets) socket.destroySoon()
    store.remove('servers', engine.id)
  }

  const isHeld = ({ layers, isUp }, from, to) => isUp && layers !== undefined && layers.from <= from && layers.to >= to

  /** The address of the first part of a path that is not there. */
  function findFault (path) {
    return path.find(({ address, from, to }) => {
      const engine = engines.find(candidate => `${candidate.ip}:${candidate.port}` === address)
      return engine === undefined || !isHeld(engine, from, to)
    })?.address
  }

  async function serve (engine, request, response) {
    if (engine.leavingSinceMs !== undefined) response.setHeader('Server-Leaving', '1')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks).toString()
    if (!engine.isUp) return response.destroy()
    const json = (status, value) => { const text = JSON.stringify(value); response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), Connection: 'close' }); response.end(text) }
    if (request.url === '/report') {
      return json(200, { stage: 'both', models: [{ name: 'model', version: 1, adapters: [] }], busy: engine.isBusy, sequence: engine.orders, num_waiting: 0, num_running: 0, kv_used: 0, kv_total: 69791, handles: 0, born: engine.born, pace: 1, stalled: [], layers: engine.layers ?? null })
    }
    const id = request.headers['request-id']
    const expected = request.headers['expect-instance']
    const refuse = (status, headers = {}) => { response.writeHead(status, { 'Not-Executed': '1', ...(id === undefined ? {} : { 'Request-Id': id }), ...headers, 'Content-Length': 0, Connection: 'close' }); response.end() }
    if (expected !== undefined && expected !== engine.id) return refuse(421, { 'Instance-Id': engine.id })
    if (request.url === '/order') return order(engine, JSON.parse(body), json)
    const path = String(request.headers['hop-count']).split(',').map(part => {
      const [, address, from, to] = /^(.+)=(\d+)-(\d+)$/.exec(part)
      return { address, from: Number(from), to: Number(to) }
    })
    const faulty = findFault(path)
    if (faulty !== undefined) return refuse(faulty === `${engine.ip}:${engine.port}` ? 421 : 503, { 'At-Server': faulty })
    hasServed = true
    const parts = String(request.headers['prompt-prefix']).split(',').map(part => part.split(':')[0])
    runs.set(id, [...runs.get(id) ?? [], { engine, engineId: engine.id, atMs: Date.now() }])
    if (parts.slice(0, -1).includes(deadlyPart)) {
      setTimeout(() => {
        if (!engine.isUp || request.socket.destroyed) return
        deadlyCrashesMs.push(Date.now())
        crash(engine, `it begins to write on the part ${deadlyPart} of request ${id}`)
      }, FIRST_EVENT_MS)
      return
    }
    engine.running++
    response.once('close', () => { engine.running--; endIfIdle(engine) })
    // Without a length and without chunks the end of the connection is the end of the answer.
    if (isUnframed) response.useChunkedEncodingByDefault = false
    response.writeHead(200, { 'Request-Id': id, 'Server-Seal': `${engine.id}.${id}`, 'Weight-Versions': '1', 'Content-Type': 'text/event-stream', Connection: 'close' })
    let next = Number(request.headers['last-event-id'] ?? 0) + 1
    const write = () => {
      if (response.destroyed || !engine.isUp) return
      if (next > events) return response.end()
      response.write(eventText(id, next++))
      setTimeout(write, EVENT_MS)
    }
    setTimeout(write, FIRST_EVENT_MS)
  }

  function order (engine, { operation, from, to, expect }, json) {
    if (operation !== 'place') return json(404, {})
    if (engine.isBusy || (expect !== undefined && expect !== engine.orders)) return json(409, {})
    if (engine.layers?.from === from && engine.layers?.to === to) return json(200, {})
    engine.orders++
    engine.isBusy = true
    const { id } = engine
    setTimeout(() => {
      if (engine.id !== id || !engine.isUp) return
      Object.assign(engine, { isBusy: false, layers: { from, to } })
      beat(engine)
    }, hasServed ? LOAD_MS : LOAD_MS / 10)
    json(202, {})
  }

  const network = await pickNetwork()
  for (let index = 0; index < count; index++) {
    const ip = `${network}.${index + 1}`
    const engine = { index: index + 1, zone: zones[index % zones.length], ip, port: await findFreePort(ip), beats: 0 }
    engines.push(engine)
    await start(engine)
  }
  const heartbeat = setInterval(() => engines.forEach(beat), HEARTBEAT_MS)
  return {
    engines,
    runs,
    deadlyCrashesMs,
    crash,
    leave,
    close () {
      isClosed = true
      clearInterval(heartbeat)
      for (const engine of engines) { engine.server.close(); for (const socket of engine.sockets) socket.destroy() }
    }
  }
}
