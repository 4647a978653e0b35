// One of three engines fails requests with an error whose body is bytes in short pieces without end
// (TROUBLE=0: with one that ends). The script plays the platform: a process that ends is started
// again after half a second. Counted are requests of another service, on kept connections, that had
// been passed on to sound engines when their connection was closed without an answer.
import http from 'node:http'
import { startStore, sleep } from '../lib/platform.mjs'
import { plainAnswer, startEngine } from '../lib/engine.mjs'
import { freeIps, MEMORY_MB, removeFolder, startGateway, waitReady } from '../lib/gateway.mjs'
import { endlessBytes, streamAnswer } from '../lib/endless.mjs'
import { call } from '../lib/client.mjs'
import { createRecord } from '../lib/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'desk.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const PIECE_BYTES = 16
const STREAM_CLIENTS = 30
const STREAM_GAP_MS = 2_000
const DESK_CLIENTS = 9
const RESTART_MS = 500
const RUN_MS = 35_000

const record = createRecord(import.meta.dirname)
const store = await startStore()
const route = { host: HOST, public: false }
store.put('config', 'main', {
  version: 7,
  routes: [
    { ...route, name: 'brief', path_prefix: '/brief/', kind: 'streaming', resumable: true, timeout_ms: 20_000, target_latency_ms: 500, target_gap_ms: 200, priority: 1, service: 'assistant', max_attempts: 2 },
    { ...route, name: 'booking', path_prefix: '/booking/', kind: 'unsafe', timeout_ms: 1_500, target_latency_ms: 300, priority: 2, service: 'order-desk', max_attempts: 1 }
  ],
  services: [{ name: 'assistant' }, { name: 'order-desk' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
  tenants: [{ name: 'studio', api_keys: [KEY] }]
})

let isFaulty = false
const endless = endlessBytes({ status: 500, type: 'text/plain', pieceBytes: PIECE_BYTES })
async function fail (exchange) {
  if (!isFaulty) return await streamAnswer(exchange)
  if (HAS_TROUBLE) return await endless.answer(exchange)
  exchange.response.writeHead(500, { ...exchange.headers, 'Content-Type': 'text/plain' })
  exchange.response.end('failed')
}
const engines = []
for (let index = 0; index < 3; index++) engines.push(await startEngine(store, { service: 'assistant', zone: 'a', slots: 134, answer: index === 0 ? fail : streamAnswer }))
for (let index = 0; index < 3; index++) engines.push(await startEngine(store, { service: 'order-desk', zone: 'a', answer: plainAnswer(85, 450) }))
const ips = await freeIps(2)
const start = index => startGateway({ name: `gateway-${index}`, ip: ips[index], zone: 'a', zones: ['a'], seedIps: ips, storeAddress: store.address })
const gateways = ips.map((_, index) => start(index))
const ended = new AbortController()
const answers = []
const peaksMb = ips.map(() => 0)
let ends = 0
let code = 2

async function client (index, options) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  let isOpen = false
  while (!ended.signal.aborted) {
    if (!isOpen && !await gateways[index].isReady()) {
      await sleep(300)
      continue
    }
    const answer = await call(gateways[index], { agent, host: HOST, key: KEY, ...options })
    answers.push(answer)
    isOpen = answer.isComplete
    await sleep(answer.status === 200 && isOpen ? 20 : 200)
  }
  agent.destroy()
}
/** Starts a process that has ended again, as the platform does. */
async function keepRunning (index) {
  while (!ended.signal.aborted) {
    peaksMb[index] = Math.max(peaksMb[index], gateways[index].memoryMb())
    if (gateways[index].hasEnded()) {
      ends++
      const cause = /FATAL ERROR[^\n]*/.exec(gateways[index].log())?.[0] ?? 'no cause logged'
      record.note(`${gateways[index].name}: its process has ended by itself: ${cause}`)
      await sleep(RESTART_MS)
      gateways[index] = start(index)
    }
    await sleep(20)
  }
}

try {
  if (!await waitReady(gateways)) throw new Error('gateways not ready')
  const tasks = ips.flatMap((_, index) => [
    keepRunning(index),
    ...Array.from({ length: STREAM_CLIENTS }, () => client(index, { path: '/brief/1', body: 'a prompt', deadlineMs: 20_000, gapMs: STREAM_GAP_MS })),
    ...Array.from({ length: DESK_CLIENTS }, () => client(index, { path: '/booking/1', body: 'one print run', deadlineMs: 3_000 }))
  ])
  await sleep(4_000)
  isFaulty = true
  record.note(`engine ${engines[0].id}: from now on it fails requests with an error${HAS_TROUBLE ? ' whose body is bytes without end' : ''}`)
  await sleep(RUN_MS)
  ended.abort()
  isFaulty = false
  await Promise.all(tasks)
  const runs = new Map(engines.flatMap(engine => engine.received).map(entry => [entry.requestId, entry]))
  for (const { requestId, path, gateway, sentMs, endedMs, status, error, isComplete, isKept } of answers) {
    const run = runs.get(requestId)
    record.note(`client: ${requestId} ${path} to ${gateway} on a ${isKept ? 'kept' : 'new'} connection: ${status || error}${isComplete ? '' : ', not complete'} after ${endedMs - sentMs} ms, ${run === undefined ? 'not run' : `run by ${run.id}${run.isEndless ? ' (no end)' : ''}`}`, sentMs)
  }
  const lost = answers.filter(({ requestId, path, isKept, status, error }) => path === '/booking/1' && isKept && status === 0 && !/client/.test(error) && runs.has(requestId))
  for (const { requestId, gateway, endedMs, error } of lost) record.note(`BROKEN: ${requestId}, sent to ${gateway} on a kept connection and run by the sound engine ${runs.get(requestId).id}, ended with ${error} and no answer`, endedMs)
  record.note(`${answers.length} requests; ${(endless.sentBytes() / 2 ** 20).toFixed(1)} MB without end sent; ${ends} processes ended by themselves; highest memory ${peaksMb.map(mb => mb.toFixed(0)).join(' and ')} MB of ${MEMORY_MB}; ${lost.length} requests at sound engines lost`)
  console.log(`${ends} processes ended by themselves, ${lost.length} requests at sound engines lost (highest memory ${peaksMb.map(mb => mb.toFixed(0)).join(', ')} MB)`)
  code = lost.length > 3 ? 1 : answers.some(({ path, status }) => path === '/booking/1' && status === 200) ? 0 : 2
} catch (error) {
  record.note(`could not run: ${error.stack}`)
} finally {
  ended.abort()
  await Promise.all(gateways.map(gateway => gateway.stop()))
  for (const engine of engines) engine.close()
  store.close()
  removeFolder()
  record.write()
  process.exit(code)
}
