// One of three engines answers streams with bytes that are no answer and don't end: short pieces, no
// event among them, until the caller closes (TROUBLE=0: with its events). Beside them, clients of
// another service send short requests. Counted are requests that are still unanswered at their
// route's `timeout_ms`, and those of them that have no answer half a second later.
import http from 'node:http'
import { startStore, sleep } from '../lib/platform.mjs'
import { plainAnswer, startEngine } from '../lib/engine.mjs'
import { freeIps, removeFolder, startGateway, waitReady } from '../lib/gateway.mjs'
import { endlessBytes, streamAnswer } from '../lib/endless.mjs'
import { call } from '../lib/client.mjs'
import { createRecord } from '../lib/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'desk.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const PIECE_BYTES = 4
const STREAM_CLIENTS = 30
const DESK_CLIENTS = 4
const DESK_TIMEOUT_MS = 1_500
const STREAM_GAP_MS = 2_000
const RUN_MS = 15_000

const record = createRecord(import.meta.dirname)
const store = await startStore()
const route = { host: HOST, public: false }
store.put('config', 'main', {
  version: 7,
  routes: [
    { ...route, name: 'brief', path_prefix: '/brief/', kind: 'streaming', resumable: true, timeout_ms: 20_000, target_latency_ms: 500, target_gap_ms: 200, priority: 1, service: 'assistant', max_attempts: 2 },
    { ...route, name: 'booking', path_prefix: '/booking/', kind: 'unsafe', timeout_ms: DESK_TIMEOUT_MS, target_latency_ms: 300, priority: 2, service: 'order-desk', max_attempts: 1 }
  ],
  services: [{ name: 'assistant' }, { name: 'order-desk' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
  tenants: [{ name: 'studio', api_keys: [KEY] }]
})

let isFaulty = false
const endless = endlessBytes({ status: 200, type: 'text/event-stream', pieceBytes: PIECE_BYTES })
const spoiled = async exchange => await (isFaulty ? endless.answer(exchange) : streamAnswer(exchange))
const engines = []
for (let index = 0; index < 3; index++) engines.push(await startEngine(store, { service: 'assistant', zone: 'a', slots: 134, answer: index === 0 ? spoiled : streamAnswer }))
for (let index = 0; index < 3; index++) engines.push(await startEngine(store, { service: 'order-desk', zone: 'a', answer: plainAnswer(85) }))
const ips = await freeIps(2)
const gateways = ips.map((ip, index) => startGateway({ name: `gateway-${index}`, ip, zone: 'a', zones: ['a'], seedIps: ips, storeAddress: store.address }))
const ended = new AbortController()
const answers = []
let code = 2

async function client (gateway, options) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  while (!ended.signal.aborted) {
    const answer = await call(gateway, { agent, host: HOST, key: KEY, ...options })
    answers.push(answer)
    await sleep(answer.status === 200 && answer.isComplete ? 50 : 300)
  }
  agent.destroy()
}
const peaksMb = gateways.map(() => 0)
const readiness = []
async function watch (gateway, index) {
  while (!ended.signal.aborted) {
    const sentMs = Date.now()
    const isReady = await gateway.isReady()
    readiness.push({ gateway: gateway.name, sentMs, tookMs: Date.now() - sentMs, isReady })
    peaksMb[index] = Math.max(peaksMb[index], gateway.memoryMb())
    await sleep(Math.max(0, 1_000 - (Date.now() - sentMs)))
  }
}

try {
  if (!await waitReady(gateways)) throw new Error('gateways not ready')
  const tasks = gateways.flatMap((gateway, index) => [
    watch(gateway, index),
    ...Array.from({ length: STREAM_CLIENTS }, () => client(gateway, { path: '/brief/1', body: 'a prompt', deadlineMs: 20_000, gapMs: STREAM_GAP_MS })),
    ...Array.from({ length: DESK_CLIENTS }, () => client(gateway, { path: '/booking/1', body: 'one print run', deadlineMs: 3_000 }))
  ])
  await sleep(4_000)
  const faultyMs = Date.now()
  if (HAS_TROUBLE) {
    record.note(`engine ${engines[0].id}: from now on its answers are bytes without an event and without end`)
    isFaulty = true
  }
  await sleep(RUN_MS)
  ended.abort()
  isFaulty = false
  await Promise.all(tasks)
  const runs = new Map(engines.flatMap(engine => engine.received).map(entry => [entry.requestId, entry]))
  for (const { requestId, path, gateway, sentMs, endedMs, status, error, isComplete } of answers) {
    const run = runs.get(requestId)
    record.note(`client: ${requestId} ${path} to ${gateway}: ${status || error}${isComplete ? '' : ', not complete'} after ${endedMs - sentMs} ms, ${run === undefined ? 'not run' : `run by ${run.id}${run.isEndless ? ' (no end)' : ''}`}`, sentMs)
  }
  for (const { gateway, sentMs, tookMs, isReady } of readiness) record.note(`platform: ${gateway} ${isReady ? 'ready' : 'NOT ready'} after ${tookMs} ms`, sentMs)
  const bookings = answers.filter(({ path, sentMs }) => path === '/booking/1' && sentMs >= faultyMs - DESK_TIMEOUT_MS)
  const unanswered = bookings.filter(({ sentMs, endedMs }) => endedMs > sentMs + DESK_TIMEOUT_MS)
  const late = unanswered.filter(({ sentMs, endedMs }) => endedMs > sentMs + DESK_TIMEOUT_MS + 500)
  for (const { requestId, gateway, sentMs, endedMs, status, error } of late) record.note(`BROKEN: ${requestId}, sent to ${gateway}, had no answer ${DESK_TIMEOUT_MS + 500} ms later (${status || error} after ${endedMs - sentMs} ms)`, endedMs)
  const misses = readiness.filter(({ sentMs, isReady }) => sentMs >= faultyMs && !isReady).length
  record.note(`${bookings.length} bookings, ${unanswered.length} unanswered at timeout_ms, ${late.length} of them 0.5 s later; ${misses} readiness checks missed; ${(endless.sentBytes() / 2 ** 20).toFixed(1)} MB without end sent; highest memory ${peaksMb.map(mb => mb.toFixed(0)).join(' and ')} MB`)
  console.log(`${bookings.length} bookings, ${unanswered.length} unanswered at timeout_ms, ${late.length} of them 0.5 s later; ${misses} readiness checks missed; ${(endless.sentBytes() / 2 ** 20).toFixed(1)} MB sent; memory ${peaksMb.map(mb => mb.toFixed(0))}`)
  code = late.length > unanswered.length / 2 ? 1 : bookings.some(({ status }) => status === 200) ? 0 : 2
} catch (error) {
  record.note(`could not run: ${error.stack}`)
} finally {
  ended.abort()
  if (process.env.SHOW === '1') for (const gateway of gateways) console.log(gateway.log().split('\n').filter(line => !/gatewayAnswered/.test(line)).slice(-40).join('\n'))
  await Promise.all(gateways.map(gateway => gateway.stop()))
  for (const engine of engines) engine.close()
  store.close()
  removeFolder()
  record.write()
  process.exit(code)
}
