import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript, type PlatformEngineStandin, type ReceivedRequest } from '../../standin/platform/servePlatformEngine/index.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** A model that one engine can hold. */
const configuration = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

const engine = (id: string, address: string, failureDomain = 'north'): Target => ({ id, service: 'model', address, failureDomain, bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } })
const plainTarget = (id: string, address: string, failureDomain = 'north'): Target => ({ id, service: 'orders', address, failureDomain, bornMs: 1, isLeaving: false, slots: 6 })

/** A gateway in front of two engines that are plain targets too; it tries the first one first. */
async function startPair (scripts: [EngineScript, EngineScript], options: Parameters<typeof startTestGateway>[1] = {}) {
  const engines = [await servePlatformEngine(scripts[0]), await servePlatformEngine(scripts[1])] as [PlatformEngineStandin, PlatformEngineStandin]
  const gateway = await startTestGateway(engines.flatMap(({ address }, index) => {
    const domain = index === 0 ? 'north' : 'south'
    return [engine(`i-${index + 1}`, address, domain), plainTarget(`p-${index + 1}`, address, domain)]
  }), { configuration, ...options })
  return {
    engines,
    gateway,
    /** The line with which the call ended. */
    finalLine: () => gateway.parts.log.recent().find(({ number }) => number >= 3200 && number <= 3203),
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      for (const standin of engines) await standin[Symbol.asyncDispose]()
    }
  }
}

/** Head of an answer that neither a length nor chunks delimit. */
const unframedHead = (request: ReceivedRequest): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${request.headers['request-id']}\r\nServer-Seal: s.1\r\nConnection: close\r\n\r\n`

/** Events without chunks. */
const bareEvents = (ids: readonly number[]): string => ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('')

/** Event ids that are left of a stream of four. */
const idsLeft = (request: ReceivedRequest): number[] => [1, 2, 3, 4].filter(id => id > Number(request.headers['last-event-id'] ?? 0))

const WHOLE_STREAM: EngineScript = (request, socket) => socket.end(buildStreamHead(request) + encodeEvents(idsLeft(request)) + STREAM_END)
const UNFRAMED_STREAM: EngineScript = (request, socket) => socket.end(unframedHead(request) + bareEvents(idsLeft(request)))

test('the line of an answer says how its end was known, over which link, and what the last try brought', async t => {
  const cases: Array<{ path: string, script: EngineScript, framing: string, events?: number }> = [
    { path: '/safe/x', script: (request, socket) => socket.end(buildAnswer(request, 'all')), framing: 'length' },
    { path: '/safe/x', script: (request, socket) => socket.end(`${unframedHead(request)}all`), framing: 'connection' },
    { path: '/safe/x', script: (request, socket) => socket.end(`${unframedHead(request).replace('Connection', 'Transfer-Encoding: identity\r\nConnection')}all`), framing: 'connection' },
    { path: '/safe/x', script: (request, socket) => socket.end(unframedHead(request).replace('200 OK', '204 Done')), framing: 'none' },
    { path: '/stream/x', script: WHOLE_STREAM, framing: 'chunks', events: 4 },
    { path: '/stream/x', script: UNFRAMED_STREAM, framing: 'connection', events: 4 }
  ]
  for (const { path, script, framing, events } of cases) {
    await using pair = await startPair([script, script])
    await pair.gateway.send(path)
    t.like(pair.finalLine(), { name: 'gatewayAnswered', framing, link: 'direct', events }, `${path} ${framing}`)
  }
  await using pair = await startPair([(request, socket) => { socket.write(buildStreamHead(request) + encodeEvents([1, 2]), () => socket.destroy()) }, UNFRAMED_STREAM])
  await pair.gateway.send('/stream/x')
  const events = pair.gateway.parts.log.recent()
  t.like(events.find(({ name }) => name === 'streamResumed'), { framing: 'chunks', link: 'direct', events: 2 })
  t.like(pair.finalLine(), { name: 'gatewayAnswered', framing: 'connection', events: 2 })
})
