import { once } from 'node:events'
import { connect } from 'node:net'
import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, servePlatformEngine, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { DeadlineError } from '../../src/runtime/withDeadline/index.js'
import { startTestGateway } from '../fakes/startTestGateway.js'

const target = (id: string, address: string): Target => ({ id, service: 'orders', address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 6 })

/** A gateway in front of two targets; it tries the first one first. */
async function startPair (firstScript: EngineScript, secondScript: EngineScript = (request, socket) => socket.end(buildAnswer(request, 'second'))) {
  const [first, second] = [await servePlatformEngine(firstScript), await servePlatformEngine(secondScript)]
  const gateway = await startTestGateway([target('i-1', first.address), { ...target('i-2', second.address), failureDomain: 'south' }])
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

/** A promise with the function that resolves it. */
function createDeferred (): { promise: Promise<void>, resolve: () => void } {
  let resolve = (): void => {}
  const promise = new Promise<void>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}

const RESET: EngineScript = (_request, socket) => socket.resetAndDestroy()

test('an unsafe call whose answer is lost is not retried, and not reported as not run', async t => {
  await using pair = await startPair(RESET)
  t.is((await pair.gateway.send('/unsafe/x')).status, 502)
  t.is(pair.second.received.length, 0)
})

test('an unsafe call that was never sent goes to another target', async t => {
  await using pair = await startPair(RESET)
  await pair.first[Symbol.asyncDispose]()
  t.like(await pair.gateway.send('/unsafe/x'), { status: 200, body: 'second' })
})

test('an unsafe call that its target refused without running it goes to another target', async t => {
  await using pair = await startPair((request, socket) => socket.end(buildAnswer(request, '', { status: '503 Full', headers: ['Not-Executed: 1'] })))
  t.like(await pair.gateway.send('/unsafe/x'), { status: 200, body: 'second' })
})

test('a 503 without proof that the call did not run is not relayed as if it had not run', async t => {
  await using pair = await startPair((request, socket) => socket.end(buildAnswer(request, '', { status: '503 Odd' })))
  t.is((await pair.gateway.send('/unsafe/x')).status, 502)
})

test('a safe call goes to a second target after a lost, truncated, invalid or mismatched answer', async t => {
  const scripts: EngineScript[] = [
    RESET,
    (request, socket) => socket.end(buildAnswer(request, 'whole').slice(0, -2)),
    (_request, socket) => socket.end('these bytes are no answer\r\n\r\n'),
    (request, socket) => socket.end(buildAnswer({ ...request, headers: { 'request-id': 'other' } }, 'foreign')),
    (request, socket) => socket.end(buildAnswer(request, 'coded', { headers: ['Content-Encoding: gzip'] }))
  ]
  for (const script of scripts) {
    await using pair = await startPair(script)
    t.like(await pair.gateway.send('/safe/x'), { status: 200, body: 'second' })
  }
})

test("a target's error answer is relayed unchanged", async t => {
  await using pair = await startPair((request, socket) => socket.end(buildAnswer(request, 'no', { status: '500 Failed' })))
  t.like(await pair.gateway.send('/unsafe/x'), { status: 500, body: 'no' })
})

test('bytes after a complete answer are ignored', async t => {
  await using pair = await startPair((request, socket) => socket.end(buildAnswer(request, 'first') + buildAnswer(request, 'extra')))
  t.like(await pair.gateway.send('/unsafe/x'), { status: 200, body: 'first' })
})

test('an answer without a length is relayed with one, and fails if its connection was reset', async t => {
  const head = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\nConnection: close\r\n\r\n'
  await using pair = await startPair((_request, socket) => {
    socket.write(`${head}half`, () => setImmediate(() => socket.resetAndDestroy()))
  })
  t.is((await pair.gateway.send('/unsafe/x')).status, 502)
  await using whole = await startPair((_request, socket) => socket.end(`${head}all of it`))
  const answer = await whole.gateway.send('/unsafe/x')
  t.like(answer, { status: 200, body: 'all of it' })
  t.like(answer.headers, { 'content-length': '9', 'transfer-encoding': undefined })
})

test('a target learns the account, the time left and its own identity, and never the key', async t => {
  await using pair = await startPair((request, socket) => socket.end(buildAnswer(request, 'ok')))
  await pair.gateway.send('/unsafe/a%2Fb?q=1', { tenant: 'forged', 'x-own': 'Kept' }, 'body bytes')
  const [request] = pair.first.received
  t.like(request, { method: 'POST', path: '/unsafe/a%2Fb?q=1', body: 'body bytes' })
  t.like(request!.headers, { tenant: 'studio', 'expect-instance': 'i-1', 'request-id': 'r1', 'x-own': 'Kept', host: 'studio.example' })
  t.true(Number(request!.headers['deadline-ms']) <= 4_000)
  t.false(request!.rawHead.includes('secret'))
})

test('a call without a route, a valid key or a configuration is refused without being sent', async t => {
  await using pair = await startPair((request, socket) => socket.end(buildAnswer(request, 'ok')))
  t.is((await pair.gateway.send('/other/x')).status, 404)
  t.is((await pair.gateway.send('/unsafe/x', { authorization: 'Token wrong' })).status, 401)
  await using unready = await startTestGateway([], { configuration: undefined })
  const refused = await unready.send('/unsafe/x')
  t.is(refused.status, 503)
  t.truthy(refused.headers['retry-after'])
  t.is(pair.first.received.length, 0)
})

test('a target that refused a request recently is used if there is no other', async t => {
  await using engine = await servePlatformEngine((request, socket) => socket.end(buildAnswer(request, '', { status: '503 Full', headers: ['Not-Executed: 1'] })))
  await using gateway = await startTestGateway([target('i-1', engine.address)])
  t.is((await gateway.send('/unsafe/x')).status, 503)
  engine.setScript((request, socket) => socket.end(buildAnswer(request, 'ok')))
  t.is((await gateway.send('/unsafe/x')).status, 200)
})

test('without any target a call is refused at once with a retry delay', async t => {
  await using gateway = await startTestGateway([])
  const refused = await gateway.send('/unsafe/x')
  t.is(refused.status, 503)
  t.is(refused.headers['retry-after'], '0.5')
})

test('a target is told when the caller leaves', async t => {
  const { promise: arrived, resolve: noteArrival } = createDeferred()
  const { promise: closed, resolve: noteClose } = createDeferred()
  await using pair = await startPair((_request, socket) => {
    socket.once('close', () => noteClose())
    noteArrival()
  })
  const [host, port] = pair.gateway.address.split(':')
  const caller = connect(Number(port), host)
  caller.write('POST /unsafe/x HTTP/1.1\r\nHost: studio.example\r\nAuthorization: Token secret\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n')
  await arrived
  caller.destroy()
  await closed
  t.is(pair.second.received.length, 0)
})

test('a call whose body has not arrived when all calls must end is refused', async t => {
  const end = new AbortController()
  await using gateway = await startTestGateway([], { endSignal: end.signal })
  const [host, port] = gateway.address.split(':')
  const caller = connect(Number(port), host)
  caller.write('POST /unsafe/x HTTP/1.1\r\nHost: studio.example\r\nAuthorization: Token secret\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nha')
  t.regex(String((await once(caller, 'data'))[0]), /^HTTP\/1.1 100 /)
  end.abort(new DeadlineError(0))
  t.regex(String((await once(caller, 'data'))[0]), /^HTTP\/1.1 503 /)
  caller.destroy()
})
