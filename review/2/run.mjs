// gateway-0 is partitioned from the engines, while clients, the store and gateway-1 still reach it; its
// requests go through gateway-1, whose process is then killed (TROUBLE=0: neither). The engines'
// answers have neither a length nor chunks and end with their connections. Counted are answers that
// the clients of gateway-0 get with a success and whose end is missing.
import { startStore, sleep } from '../lib/platform.mjs'
import { startEngine } from '../lib/engine.mjs'
import { freeIps, removeFolder, startGateway, waitReady } from '../lib/gateway.mjs'
import { startCuttablePort } from '../lib/cuttable.mjs'
import { call } from '../lib/client.mjs'
import { createRecord } from '../lib/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'desk.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const EVENTS = 60
const EVENT_MS = 50
const SILENT_MS = 1_000
const REQUESTS = 6

const record = createRecord(import.meta.dirname)
const store = await startStore()
const route = { host: HOST, priority: 1, max_attempts: 2, public: false }
store.put('config', 'main', {
  version: 7,
  routes: [
    { ...route, name: 'brief', path_prefix: '/brief/', kind: 'streaming', resumable: true, timeout_ms: 20_000, target_latency_ms: 500, target_gap_ms: 200, service: 'assistant' },
    { ...route, name: 'booking', path_prefix: '/booking/', kind: 'unsafe', timeout_ms: 5_000, target_latency_ms: 2_500, service: 'order-desk', max_attempts: 1 }
  ],
  services: [{ name: 'assistant' }, { name: 'order-desk' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
  tenants: [{ name: 'studio', api_keys: [KEY] }]
})
/** Sends an answer that has neither a length nor chunks and ends with its connection. */
const sendHead = ({ response, headers }, type) => {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
  response.writeHead(200, { ...headers, 'Content-Type': type })
  response.flushHeaders()
}
const wholeBookings = new Map()
async function booking (exchange) {
  const body = `booked ${exchange.requestId}\n`.padEnd(800, '.')
  wholeBookings.set(exchange.requestId, body)
  sendHead(exchange, 'text/plain')
  exchange.response.write(body.slice(0, 400))
  await sleep(SILENT_MS)
  exchange.response.end(body.slice(400))
}
async function brief (exchange) {
  const { request, response } = exchange
  sendHead(exchange, 'text/event-stream')
  for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= EVENTS && !response.destroyed; id++) {
    response.write(`id: ${id}\ndata: ${'x'.repeat(48)}\n\n`)
    await sleep(EVENT_MS)
  }
  response.end()
}
const ports = []
const wrap = async address => { ports.push(await startCuttablePort(address)); return ports.at(-1).address }
const engines = []
for (let index = 0; index < 2; index++) engines.push(await startEngine(store, { service: 'assistant', zone: 'a', slots: 134, answer: brief, wrap }))
for (let index = 0; index < 2; index++) engines.push(await startEngine(store, { service: 'order-desk', zone: 'a', slots: 6, answer: booking, wrap }))
const ips = await freeIps(2)
const gateways = ips.map((ip, index) => startGateway({ name: `gateway-${index}`, ip, zone: 'a', zones: ['a'], seedIps: ips, storeAddress: store.address }))
let code = 2

try {
  if (!await waitReady(gateways)) throw new Error('gateways not ready')
  await sleep(3_000)
  if (HAS_TROUBLE) {
    await Promise.all(ports.map(port => port.cut()))
    record.note('links: connections of gateway-0 to the engines hang')
  }
  const calls = Array.from({ length: REQUESTS }, (_, index) => index % 2 === 0
    ? call(gateways[0], { path: '/brief/1', host: HOST, key: KEY, body: 'a prompt', deadlineMs: 20_000 })
    : call(gateways[0], { path: '/booking/1', host: HOST, key: KEY, body: 'one print run', deadlineMs: 5_000 }))
  // gateway-1 never is partitioned: it connects once gateway-0 has given up and asked it.
  await sleep(60)
  if (HAS_TROUBLE) for (const port of ports) port.heal()
  await sleep(200)
  // By now gateway-1 has connected, and needs no further connection.
  if (HAS_TROUBLE) for (const port of ports) port.refuse()
  await sleep(400)
  if (HAS_TROUBLE) {
    gateways[1].signal('SIGKILL')
    record.note('gateway-1: its process is killed')
  }
  const answers = await Promise.all(calls)
  const relayed = /relayed_connections_total\{result="connected"\} (\d+)/.exec(await gateways[0].metrics())?.[1] ?? 'unknown'
  const runs = engines.flatMap(engine => engine.received)
  for (const { id, requestId, atMs } of runs) record.note(`engine ${id}: runs ${requestId}`, atMs)
  const broken = []
  for (const { requestId, path, sentMs, endedMs, status, error, isComplete, body, headers } of answers) {
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
    const isWhole = path === '/booking/1' ? body === wholeBookings.get(requestId) : ids.length === EVENTS && ids.every((id, index) => id === index + 1)
    const text = path === '/booking/1' ? `${body.length} of 800 bytes` : `${ids.length} of ${EVENTS} events`
    record.note(`client: ${requestId} ${path} to gateway-0: ${status || error}, seal ${headers['server-seal'] ?? 'none'}, ${isComplete ? 'ended as complete' : 'broken off'} after ${endedMs - sentMs} ms with ${text}`, sentMs)
    if (status === 200 && isComplete && !isWhole) broken.push({ requestId, path, text, endedMs })
  }
  for (const { requestId, path, text, endedMs } of broken) record.note(`BROKEN: the answer to ${requestId} (${path}) ended as complete with ${text}`, endedMs)
  record.note(`${answers.length} requests, ${broken.length} got a success whose end is missing; connections through the peer: ${relayed}`)
  console.log(`${broken.length} of ${answers.length} answers looked complete and were not (connections through the peer: ${relayed})`)
  code = broken.length > 0 ? 1 : answers.some(({ status }) => status === 200) ? 0 : 2
} catch (error) {
  record.note(`could not run: ${error.stack}`)
} finally {
  if (process.env.SHOW === '1') for (const gateway of gateways) console.log(gateway.log())
  await Promise.all(gateways.map(gateway => gateway.stop()))
  for (const port of ports) await port.close()
  for (const engine of engines) engine.close()
  store.close()
  removeFolder()
  record.write()
  process.exit(code)
}
