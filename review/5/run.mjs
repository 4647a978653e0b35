// The open connections of all machines go silent for good at one moment, while new ones work
// (TROUBLE=0: they don't). A configuration that is acknowledged soon after takes a key away and moves a
// route to another service; what is handled as before later than `config_apply_ms`, by machines that
// have been in touch for `stability_ms`, is counted.
import http from 'node:http'
import { startStore, sleep } from '../lib/platform.mjs'
import { plainAnswer, startEngine } from '../lib/engine.mjs'
import { BOUNDS, freeIps, removeFolder, startGateway, waitReady } from '../lib/gateway.mjs'
import { startProxy } from '../lib/proxy.mjs'
import { call } from '../lib/client.mjs'
import { createRecord } from '../lib/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'desk.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const DROPPED_KEY = 'k83mzq0d7w41xh5yv2tr'

const record = createRecord(import.meta.dirname)
const store = await startStore()
const proxy = await startProxy(store.address)
const configure = (version, { service, keys }) => {
  store.put('config', 'main', {
    version,
    routes: [{ name: 'booking', host: HOST, path_prefix: '/booking/', kind: 'unsafe', timeout_ms: 1_500, target_latency_ms: 300, priority: 2, service, max_attempts: 1, public: false }],
    services: [{ name: 'order-desk' }, { name: 'order-desk-2' }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
    tenants: [{ name: 'studio', api_keys: keys }]
  })
  record.note(`store: acknowledges configuration ${version}: route to ${service}, keys ${keys.join(', ')}`)
  return Date.now()
}
configure(7, { service: 'order-desk', keys: [KEY] })
const engines = []
for (const service of ['order-desk', 'order-desk', 'order-desk-2', 'order-desk-2']) engines.push(await startEngine(store, { service, zone: 'a', answer: plainAnswer(60) }))
const ips = await freeIps(3)
const gateways = ips.map((ip, index) => startGateway({ name: `gateway-${index}`, ip, zone: 'a', zones: ['a'], seedIps: ips, storeAddress: proxy.address }))
let code = 2
const answers = []
const ended = new AbortController()
async function client (gateway, key) {
  const agent = new http.Agent({ keepAlive: true })
  while (!ended.signal.aborted) {
    const answer = await call(gateway, { agent, path: '/booking/1', host: HOST, key, body: 'one print run' })
    answers.push({ ...answer, key })
    await sleep(100)
  }
  agent.destroy()
}

try {
  if (!await waitReady(gateways)) throw new Error('gateways not ready')
  await sleep(5_000)
  configure(8, { service: 'order-desk', keys: [KEY, DROPPED_KEY] })
  const clients = gateways.flatMap(gateway => [client(gateway, KEY), client(gateway, DROPPED_KEY)])
  await sleep(300)
  const silentMs = Date.now()
  if (HAS_TROUBLE) record.note(`connections: ${proxy.silence()} open ones to the store go silent; new ones work`)
  await sleep(500)
  const ackMs = configure(9, { service: 'order-desk-2', keys: [KEY] })
  await sleep(6_000)
  ended.abort()
  await Promise.all(clients)
  const inTouchMs = HAS_TROUBLE ? silentMs + BOUNDS.stability_ms : 0
  const runs = new Map(engines.flatMap(engine => engine.received).map(entry => [entry.requestId, entry]))
  const judged = answers.filter(({ sentMs }) => sentMs > ackMs + BOUNDS.config_apply_ms && sentMs > inTouchMs)
  const broken = judged.filter(({ requestId, key }) => runs.has(requestId) && (runs.get(requestId).service === 'order-desk' || key === DROPPED_KEY))
  for (const { requestId, sentMs, endedMs, status, error, gateway, key } of answers) {
    const run = runs.get(requestId)
    record.note(`client: ${requestId} to ${gateway} with key ${key}: ${status || error} after ${endedMs - sentMs} ms, ${run === undefined ? 'not run' : `run by ${run.id} of ${run.service}`}`, sentMs)
  }
  for (const { requestId, sentMs, gateway, key } of broken) record.note(`BROKEN: ${requestId}, sent to ${gateway} ${sentMs - ackMs} ms after configuration 9 was acknowledged${HAS_TROUBLE ? ` and ${sentMs - silentMs} ms after the disruption` : ''}, was run by ${runs.get(requestId).service} with key ${key}`, sentMs)
  const newest = answers.filter(({ requestId }) => runs.get(requestId)?.service === 'order-desk-2')
  record.note(`${answers.length} requests, ${judged.length} judged, ${broken.length} handled as only an older version allows, ${newest.length} run by the new service`)
  console.log(`${broken.length} of ${judged.length} requests handled as only an older version allows`)
  code = broken.length > 0 ? 1 : newest.length > 0 ? 0 : 2
} catch (error) {
  record.note(`could not run: ${error.stack}`)
} finally {
  if (process.env.SHOW === '1') for (const gateway of gateways) console.log(gateway.log().split('\n').filter(line => !/gatewayAnswered|gatewayRefused/.test(line)).join('\n'))
  await Promise.all(gateways.map(gateway => gateway.stop()))
  for (const engine of engines) engine.close()
  proxy.close()
  store.close()
  removeFolder()
  record.write()
  process.exit(code)
}
