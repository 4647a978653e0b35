import test from 'ava'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { createShiftedRuntime } from '../fakes/createShiftedRuntime.js'
import { buildPlainTarget, buildWholeEngine, WHOLE_MODEL } from '../fakes/startBehindPeer.js'
import { startTestGateway } from '../fakes/startTestGateway.js'

/** Earlier answers on each route; their weight halves within a minute. */
const EARLIER_ANSWERS = 16

/** A gateway whose targets have needed 6 s for each answer, and which begins to shut down when `leave` is called. */
async function startLeavingGateway (options: { isOtherHostReady?: boolean } = {}) {
  const runtime = createShiftedRuntime()
  const script: EngineScript = (request, socket) => {
    runtime.skip(6_000)
    socket.end(request.path === '/stream/x' ? buildStreamHead(request) + encodeEvents([1, 2]) + STREAM_END : buildAnswer(request, 'done'))
  }
  const engine = await servePlatformEngine(script)
  let graceLeftMs: number | undefined
  const gateway = await startTestGateway([buildPlainTarget('p-1', engine.address), buildWholeEngine('i-1', engine.address)], { configuration: WHOLE_MODEL, runtime, graceLeftMs: () => graceLeftMs, ...options })
  const send = (path: string) => gateway.send(path, { 'deadline-ms': '60000' })
  for (let answer = 0; answer < EARLIER_ANSWERS; answer++) for (const path of ['/unsafe/x', '/stream/x']) await send(path)
  return {
    send,
    engine,
    log: gateway.parts.log,
    leave (leftMs: number) { graceLeftMs = leftMs },
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await engine[Symbol.asyncDispose]()
    }
  }
}

// Guards against requests that a leaving host passes on although it will cut them at the end of its grace period (LOST).
for (const path of ['/unsafe/x', '/stream/x']) {
  test(`a request that would outlast the grace period is refused at once and not sent on, ${path}`, async t => {
    await using leaving = await startLeavingGateway()
    const runs = leaving.engine.received.length
    leaving.leave(4_800)
    const answer = await leaving.send(path)
    t.like(answer, { status: 503, headers: { 'retry-after': '0', connection: 'close' } })
    t.is(leaving.engine.received.length, runs)
    t.like(leaving.log.recent().at(-1), { name: 'gatewayRefused', reason: 'draining', graceLeftMs: 4_800 })
  })
}

test('a request that is done in time is served, and any is where no other host is ready', async t => {
  await using inTime = await startLeavingGateway()
  inTime.leave(7_000)
  t.is((await inTime.send('/unsafe/x')).status, 200)
  await using alone = await startLeavingGateway({ isOtherHostReady: false })
  alone.leave(4_800)
  t.is((await alone.send('/unsafe/x')).status, 200)
  t.is((await alone.send('/stream/x')).status, 200)
})
