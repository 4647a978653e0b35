import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript, type ReceivedRequest } from '../../standin/platform/servePlatformEngine/index.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { startServingHosts } from '../fakes/startTwoHosts.js'
import { sendCall, startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

const plain = (id: string, address: string): Target => ({ id, service: 'orders', address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 6 })
const model = (id: string, address: string): Target => ({ ...plain(id, address), service: 'model', kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

/** Streams of a model that one engine can hold; they may be resumed or not. */
const configurationOf = ({ isResumable }: { isResumable: boolean }): typeof TEST_CONFIGURATION => ({
  ...TEST_CONFIGURATION,
  routes: TEST_CONFIGURATION.routes.map(route => ({ ...route, isResumable: route.kind === 'stream' && isResumable })),
  services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } })
})

const WHOLE_STREAM: EngineScript = (request, socket) => { socket.end(buildStreamHead(request) + encodeEvents([1, 2, 3]) + STREAM_END) }

/** A gateway in front of two targets of a kind; it tries the first one first. */
async function startPair (createTarget: typeof plain, scripts: [EngineScript, EngineScript], { isResumable = true } = {}) {
  const [first, second] = [await servePlatformEngine(scripts[0]), await servePlatformEngine(scripts[1])]
  const targets = [createTarget('i-1', first.address), { ...createTarget('i-2', second.address), failureDomain: 'south', ...(createTarget === model ? { kind: 'small' } : {}) }]
  const gateway = await startTestGateway(targets, { configuration: configurationOf({ isResumable }) })
  return {
    first,
    second,
    gateway,
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await first[Symbol.asyncDispose]()
      await second[Symbol.asyncDispose]()
    }
  }
}

const startPlain = (script: EngineScript) => startPair(plain, [script, (request, socket) => { socket.end(buildAnswer(request, 'second')) }])
const startStreams = (script: EngineScript, options = {}) => startPair(model, [script, WHOLE_STREAM], options)

/** The request under the id of another one. */
const another = (request: ReceivedRequest): ReceivedRequest => ({ ...request, headers: { ...request.headers, 'request-id': 'another' } })
const withoutId = (answer: string): string => answer.replace(/Request-Id: .*\r\n/, '')
const REFUSAL = { status: '503 Full', headers: ['Not-Executed: 1'] }

test('a refusal of another request is no proof that an unsafe call did not run', async t => {
  await using pair = await startPlain((request, socket) => { socket.end(buildAnswer(another(request), '', REFUSAL) + buildAnswer(request, 'first')) })
  t.is((await pair.gateway.send('/unsafe/x')).status, 502)
  t.is(pair.second.received.length, 0)
})

test('a refusal without an id is no proof that an unsafe call did not run', async t => {
  await using pair = await startPlain((request, socket) => { socket.end(withoutId(buildAnswer(request, '', REFUSAL)) + buildAnswer(request, 'first')) })
  t.is((await pair.gateway.send('/unsafe/x')).status, 502)
  t.is(pair.second.received.length, 0)
})

test('an answer without an id is not passed on', async t => {
  await using pair = await startPlain((request, socket) => { socket.end(withoutId(buildAnswer(request, 'first'))) })
  t.is((await pair.gateway.send('/unsafe/x')).status, 502)
  t.like(await pair.gateway.send('/safe/x'), { status: 200, body: 'second' })
})

test('a safe call that only got refusals of other requests is not reported as not run', async t => {
  await using engine = await servePlatformEngine((request, socket) => { socket.end(buildAnswer(another(request), '', REFUSAL)) })
  await using gateway = await startTestGateway([plain('i-1', engine.address)])
  t.is((await gateway.send('/safe/x')).status, 502)
})

test('an answer to another request without an end does not keep its call waiting', async t => {
  await using pair = await startPlain((request, socket) => { socket.write(buildAnswer(another(request), 'begun').replace('Content-Length: 5', 'Content-Length: 500')) })
  t.is((await pair.gateway.send('/unsafe/x', { 'deadline-ms': '60000' })).status, 502)
})

test('an answer without an id belongs to a request that has none', async t => {
  await using pair = await startPlain((request, socket) => { socket.end(withoutId(buildAnswer(request, 'no id', { status: '400 Bad Request' }))) })
  t.like(await pair.gateway.send('/unsafe/x', { 'request-id': '' }), { status: 400, body: 'no id' })
})

test('a refusal of another request, or without an id, is no proof that a stream did not run', async t => {
  for (const refuse of [(request: ReceivedRequest) => buildAnswer(another(request), '', REFUSAL), (request: ReceivedRequest) => withoutId(buildAnswer(request, '', REFUSAL))]) {
    await using pair = await startStreams((request, socket) => { socket.end(refuse(request)) }, { isResumable: false })
    t.is((await pair.gateway.send('/stream/x')).status, 502)
    t.is(pair.second.received.length, 0)
  }
})

test('a stream whose engine refused another request goes on elsewhere', async t => {
  await using pair = await startStreams((request, socket) => { socket.end(buildAnswer(another(request), '', REFUSAL)) })
  t.like(await pair.gateway.send('/stream/x'), { status: 200, isComplete: true })
  t.is(pair.second.received.length, 1)
})

test('a refusal of another request does not blame the stage that it names', async t => {
  await using later = await servePlatformEngine(WHOLE_STREAM)
  await using first = await servePlatformEngine((request, socket) => {
    socket.end(buildAnswer(another(request), '', { status: '503 Full', headers: ['Not-Executed: 1', `At-Server: ${later.address}`] }))
  })
  const stages = [{ ...model('i-1', first.address), layers: { from: 0, to: 40 } }, { ...model('i-2', later.address), layers: { from: 40, to: 80 } }]
  await using gateway = await startTestGateway(stages, { configuration: configurationOf({ isResumable: false }) })
  const noted: string[] = []
  const { suspicions } = gateway.parts
  gateway.parts.suspicions = { ...suspicions, note: (id, kind) => { noted.push(`${id} ${kind}`) } }
  t.is((await gateway.send('/stream/x')).status, 502)
  t.deepEqual(noted, ['i-1 lostAnswer'])
})

test('a 503 without proof that a stream did not run is not relayed as if it had not run', async t => {
  await using pair = await startStreams((request, socket) => { socket.end(buildAnswer(request, '', { status: '503 Odd' })) }, { isResumable: false })
  t.is((await pair.gateway.send('/stream/x')).status, 502)
})

test('a target that sends an answer before it has a request gets none', async t => {
  const read: string[] = []
  const early = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', bytes => { read.push(bytes.toString()) })
    socket.write('HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n')
  }).listen(0, '127.0.0.1')
  t.teardown(() => early.close())
  await once(early, 'listening')
  await using second = await servePlatformEngine((request, socket) => { socket.end(buildAnswer(request, 'second')) })
  const runtime = createSystemRuntime()
  const earlyAddress = `127.0.0.1:${(early.address() as AddressInfo).port}`
  await using gateway = await startTestGateway([plain('i-1', earlyAddress), { ...plain('i-2', second.address), failureDomain: 'south' }], {
    runtime,
    async connectDirectly (address) {
      const socket = await connectSocket(address, { timeoutMs: 10_000, runtime })
      if (address === earlyAddress) while (socket.readableLength === 0) await new Promise(resolve => { setImmediate(resolve) })
      return socket
    }
  })
  t.like(await gateway.send('/unsafe/x'), { status: 200, body: 'second' })
  t.deepEqual(read, [])
})

test('a refusal of another request that comes through a peer is no proof either', async t => {
  await using hosts = await startServingHosts()
  hosts.cut(true)
  while ((await sendCall(hosts.cutHost.address, '/safe/x', {}, '')).status !== 200);
  let received = 0
  for (const target of hosts.targets) {
    target.setScript((request, socket) => {
      received++
      socket.end(buildAnswer(another(request), '', REFUSAL) + buildAnswer(request, 'done'))
    })
  }
  t.is((await sendCall(hosts.cutHost.address, '/unsafe/x', {}, '')).status, 502)
  t.is(received, 1)
})

test('an answer to another request sets no rate for its target, and still says that it leaves', async t => {
  await using engine = await servePlatformEngine((request, socket) => { socket.end(buildAnswer(another(request), 'done', { headers: ['Server-Limit: 0.5', 'Server-Leaving: 1'] })) })
  await using gateway = await startTestGateway([plain('i-1', engine.address)])
  t.is((await gateway.send('/safe/x')).status, 502)
  t.is(gateway.parts.targetLimits.count(), 0)
  t.is(gateway.parts.fleet.servingTargets('orders').length, 0)
})
