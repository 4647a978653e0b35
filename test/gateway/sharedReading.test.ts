import type { Duplex } from 'node:stream'
import test from 'ava'
import { createByteBudget } from '../../src/gateway/_lib/createByteBudget.js'
import type { GatewayContext } from '../../src/gateway/types.js'
import { buildAnswer, buildStreamHead, buildUnframedHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { buildPlainTarget, buildWholeEngine, WHOLE_MODEL } from '../fakes/startBehindPeer.js'
import { startTestGateway } from '../fakes/startTestGateway.js'

/** A stream of which nothing can be repeated, so that a caller gets the failure of its engine. */
const WITHOUT_RESUME = { ...WHOLE_MODEL, routes: WHOLE_MODEL.routes.map(route => ({ ...route, isResumable: false })) }

/** Sends one request through a gateway with some parts replaced; resolves with the status of its answer. */
async function sendOne (path: string, script: EngineScript, parts: Partial<GatewayContext>): Promise<number> {
  await using engine = await servePlatformEngine(script)
  await using gateway = await startTestGateway([buildPlainTarget('p-1', engine.address), buildWholeEngine('i-1', engine.address)], { configuration: WITHOUT_RESUME, parts })
  return (await gateway.send(path, {}, 'a body')).status
}

const BODY = 'x'.repeat(2_000)

// Guards against answers without end that together fill the memory: a limit for each alone ended hosts with all their calls (LOST, case 1 of the review).
for (const [path, head] of [['/unsafe/x', buildUnframedHead], ['/stream/x', (request: Parameters<typeof buildUnframedHead>[0]) => buildUnframedHead(request).replace('200 OK', '500 Failed')]] as const) {
  test(`an answer that is read shares the memory of all, ${path}`, async t => {
    const script: EngineScript = (request, socket) => { socket.end(head(request) + BODY) }
    const budgetOf = (sharedBytes: number): Partial<GatewayContext> => ({ answerBytes: createByteBudget({ allowanceBytes: 0, sharedBytes }) })
    t.is(await sendOne(path, script, budgetOf(1_999)), 502)
    t.not(await sendOne(path, script, budgetOf(2_000)), 502)
  })
}

const WHOLE: EngineScript = (request, socket) => { socket.end(request.path === '/stream/x' ? buildStreamHead(request) + encodeEvents([1]) + STREAM_END : buildAnswer(request, 'done')) }

// Guards against answers in short chunks that stop the event loop, so that nothing is answered in time (CONFIG, case 3 of the review).
for (const path of ['/unsafe/x', '/safe/x', '/stream/x']) {
  test(`the chunks of an answer are paced, ${path}`, async t => {
    let chunks = 0
    await sendOne(path, WHOLE, { answerPacer: { pace: answer => ({ noteChunk () { chunks++ }, pause () { answer.pause() }, resume () { answer.resume() } }) } })
    t.true(chunks > 0)
  })

  // The same for requests: callers that send bodies in short chunks stopped it too.
  test(`what callers and targets send is sliced, ${path}`, async t => {
    const read = new Map<Duplex, string>()
    const slice = (connection: Duplex): void => {
      const push = connection.push.bind(connection)
      connection.push = (bytes: Buffer | null) => {
        read.set(connection, (read.get(connection) ?? '') + (bytes?.toString() ?? ''))
        return push(bytes)
      }
    }
    t.is(await sendOne(path, WHOLE, { inputSlicer: { slice } }), 200)
    const texts = [...read.values()]
    t.true(texts.some(text => text.startsWith(`POST ${path} `)), 'a caller')
    t.true(texts.some(text => text.startsWith('HTTP/1.1 200 OK')), 'a target')
  })
}

// Guards against large bodies of many callers that together fill the memory, each of them within its limit (LOST).
test('the bodies of open requests share the memory of all, and one that finds none is refused as not run', async t => {
  let release = (): void => {}
  await using engine = await servePlatformEngine((request, socket) => { release = () => { socket.end(buildAnswer(request, 'done')) } })
  await using gateway = await startTestGateway([buildPlainTarget('p-1', engine.address)], { parts: { requestBytes: createByteBudget({ allowanceBytes: 100, sharedBytes: 1_000 }) } })
  const first = gateway.send('/unsafe/x', { 'request-id': 'first' }, 'x'.repeat(1_000))
  while (engine.received.length === 0) await new Promise(resolve => { setImmediate(resolve) })
  t.like(await gateway.send('/unsafe/x', { 'request-id': 'second' }, 'x'.repeat(1_000)), { status: 503, headers: { 'retry-after': '1' } })
  t.is(engine.received.length, 1)
  t.like(gateway.parts.log.recent().at(-1), { name: 'gatewayRefused', reason: 'overloaded' })
  const small = gateway.send('/unsafe/x', { 'request-id': 'small' }, 'x'.repeat(100))
  release()
  t.is((await first).status, 200)
  while (engine.received.length < 2) await new Promise(resolve => { setImmediate(resolve) })
  release()
  t.is((await small).status, 200)
  const third = gateway.send('/unsafe/x', { 'request-id': 'third' }, 'x'.repeat(1_000))
  while (engine.received.length < 3) await new Promise(resolve => { setImmediate(resolve) })
  release()
  t.is((await third).status, 200)
})
