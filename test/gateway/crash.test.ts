import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { createEngineControl } from '../../platform/createEngineControl.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript, type PlatformEngineStandin } from '../../standin/platform/servePlatformEngine/index.js'
import { createTestLog } from '../fakes/createTestLog.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** Stand-in engines that hold the whole model; a prompt with the part `bad` ends each of them. */
async function startCrashingEngines (count: number, script: (crash: () => void) => EngineScript) {
  const engines: PlatformEngineStandin[] = []
  for (let index = 0; index < count; index++) {
    const engine: PlatformEngineStandin = await servePlatformEngine(script(() => { engine[Symbol.asyncDispose]() }))
    engines.push(engine)
  }
  const targets = engines.map(({ address }, index): Target => ({ id: `i-${index}`, service: 'model', address, failureDomain: 'north', bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } }))
  return {
    engines,
    targets,
    async [Symbol.asyncDispose] () {
      for (const engine of engines) await engine[Symbol.asyncDispose]()
    }
  }
}

const WHOLE_STREAM: EngineScript = (request, socket) => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1
  socket.end(buildStreamHead(request) + encodeEvents([1, 2].filter(id => id >= first)) + STREAM_END)
}

/** Ends the engine after one event of an answer to a prompt with the part `bad`. */
const crashOnBadPart = (crash: () => void): EngineScript => (request, socket) => {
  if (!request.headers['prompt-prefix']!.includes('bad')) return WHOLE_STREAM(request, socket)
  socket.write(buildStreamHead(request) + encodeEvents([Number(request.headers['last-event-id'] ?? 0) + 1]), crash)
}

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const control = { isReachable: createEngineControl({ runtime: createSystemRuntime(), log: createTestLog() }).isReachable }

test('the end of an engine is logged with the parts of the prompts that it was answering', async t => {
  await using fleet = await startCrashingEngines(2, crashOnBadPart)
  await using gateway = await startTestGateway(fleet.targets, { configuration, control })
  await gateway.send('/stream/x', { 'prompt-prefix': '5C1e:40,bad:10,17:250' })
  const crash = gateway.parts.log.recent().find(({ name }) => name === 'targetCrashed')
  t.like(crash, { request: 'r1', route: 'stream', service: 'model', promptParts: ['5c1e', 'bad', '17'] })
  t.is(typeof crash?.firstEventAgeMs, 'number')
})

test('the end of an engine is logged with a fingerprint by which repeats of a request are recognized', async t => {
  await using fleet = await startCrashingEngines(6, crashOnBadPart)
  await using gateway = await startTestGateway(fleet.targets, { configuration, control })
  for (const [requestId, body] of [['r1', 'one'], ['r2', 'one'], ['r3', 'other']] as const) await gateway.send('/stream/x', { 'request-id': requestId, 'prompt-prefix': `bad:10,${body}:250` }, body)
  const crashes = gateway.parts.log.recent().filter(({ name }) => name === 'targetCrashed')
  const fingerprintsOf = (requestId: string): unknown[] => [...new Set(crashes.filter(({ request }) => request === requestId).map(({ fingerprint }) => fingerprint))]
  t.is(fingerprintsOf('r1').length, 1)
  t.deepEqual(fingerprintsOf('r2'), fingerprintsOf('r1'))
  t.notDeepEqual(fingerprintsOf('r3'), fingerprintsOf('r1'))
})

test('an answer that breaks off while its engine goes on is not logged as the end of the engine', async t => {
  await using fleet = await startCrashingEngines(2, () => (request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1]), () => socket.destroy()) })
  await using gateway = await startTestGateway(fleet.targets, { configuration, control })
  await gateway.send('/stream/x', { 'prompt-prefix': '5c1e:40,bad:10,17:250' })
  t.false(gateway.parts.log.recent().some(({ name }) => name === 'targetCrashed'))
})

/** Engine crashes after which the part of the prompt must be known, and requests that may still reach engines from then on. */
const CRASHES_TO_KNOW = 5
const REQUESTS_AFTER = 3

test('a prompt part that crashes engines stops reaching them, and its requests are refused as not run', async t => {
  await using fleet = await startCrashingEngines(12, crashOnBadPart)
  await using gateway = await startTestGateway(fleet.targets, { configuration, control })
  const send = (prefix: string) => gateway.send('/stream/x', { 'prompt-prefix': prefix })
  t.is((await send('5c1e:40,1:250')).status, 200)
  for (let request = 0; request < 10; request++) await send(`5c1e:40,bad:10,2${request}:250`)
  const badRequests = fleet.engines.flatMap(({ received }) => received).filter(({ headers }) => headers['prompt-prefix']!.includes('bad'))
  t.true(badRequests.length <= CRASHES_TO_KNOW + REQUESTS_AFTER, `${badRequests.length} requests reached engines`)
  t.is((await send('5c1e:40,bad:10,30:250')).status, 503)
  t.like(await send('5c1e:40,3:250'), { status: 200, isComplete: true })
})

/** Crashes after which a request must be known to crash engines. */
const CRASHES_OF_ONE_REQUEST = 3

/** A request that crashes engines, and a sound one that differs from it. */
const REPEATED_REQUESTS: Array<{ name: string, path: string, headers: Record<string, string>, soundPath: string, soundHeaders: Record<string, string>, crashDelayMs: number }> = [
  { name: 'a safe call that ends its target at once', path: '/safe/bad', headers: {}, soundPath: '/safe/x', soundHeaders: {}, crashDelayMs: 0 },
  { name: 'a safe call that ends its target later', path: '/safe/bad', headers: {}, soundPath: '/safe/x', soundHeaders: {}, crashDelayMs: 60 },
  { name: 'an unsafe call', path: '/unsafe/bad', headers: {}, soundPath: '/unsafe/x', soundHeaders: {}, crashDelayMs: 0 },
  { name: 'a prompt whose other parts are sound', path: '/stream/x', headers: { 'prompt-prefix': '5c1e:40,bad:250' }, soundPath: '/stream/x', soundHeaders: { 'prompt-prefix': '5c1e:40,78:250' }, crashDelayMs: 0 }
]

for (const { name, path, headers, soundPath, soundHeaders, crashDelayMs } of REPEATED_REQUESTS) {
  test(`repeats of a request that crashes engines stop reaching them: ${name}`, async t => {
    await using fleet = await startCrashingEngines(16, crash => (request, socket) => {
      const isBad = request.path.includes('bad') || request.headers['prompt-prefix']?.includes('bad') === true
      if (isBad) setTimeout(crash, crashDelayMs)
      else if (request.path.startsWith('/stream')) WHOLE_STREAM(request, socket)
      else socket.end(buildAnswer(request, 'ok'))
    })
    const service = path.startsWith('/stream') ? 'model' : 'orders'
    await using gateway = await startTestGateway(fleet.targets.map(target => ({ ...target, service })), { configuration, control })
    const statuses: number[] = []
    for (let repeat = 0; repeat < 12; repeat++) statuses.push((await gateway.send(path, { 'request-id': `r${repeat}`, ...headers })).status)
    const reached = new Set(fleet.engines.flatMap(({ received }) => received).map(request => request.headers['request-id'])).size
    const arrivals = fleet.engines.flatMap(({ received }) => received).length
    t.true(arrivals <= CRASHES_OF_ONE_REQUEST + REQUESTS_AFTER, `${arrivals} requests reached engines`)
    t.deepEqual(statuses.slice(reached).filter(status => status !== 503), [], 'a repeat that was not sent is refused as not run')
    t.is((await gateway.send(soundPath, soundHeaders)).status, 200)
  })
}

test('a call that a target has failed is not refused as not run when its prompt is found to crash engines', async t => {
  const prompt = { 'prompt-prefix': 'bad:10,1:250' }
  let find = (): void => {}
  await using target = await servePlatformEngine((request, socket) => {
    find()
    socket.end(buildAnswer(request, 'no', { status: '500 Failed' }))
  })
  const orders = ['o-1', 'o-2'].map((id): Target => ({ id, service: 'orders', address: target.address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 4 }))
  await using gateway = await startTestGateway(orders)
  const { crashEvidence } = gateway.parts
  const whenFound = new Promise<void>(resolve => { crashEvidence.onFound(resolve) })
  for (const [index, id] of ['e-1', 'e-2'].entries()) crashEvidence.noteCrash({ service: 'orders', fingerprint: id, promptParts: ['bad', String(index)] }, { ...orders[0]!, id })
  // The third crash is told while the target runs the call.
  find = () => crashEvidence.noteCrash({ service: 'orders', fingerprint: '9', promptParts: ['bad', '9'] }, { ...orders[0]!, id: 'e-3' })
  t.is((await gateway.send('/safe/x', prompt)).status, 500)
  await whenFound
  t.is((await gateway.send('/safe/x', prompt)).status, 503)
})
