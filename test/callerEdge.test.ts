import { once } from 'node:events'
import net from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { request } from 'undici'
import { authenticate } from '../src/account/authenticate/index.js'
import { parseCompletion } from '../src/entry/parseCompletion/index.js'
import { ACCOUNT_HEADERS, OPERATOR_HEADERS, startLocalEntry } from './fakes/startLocalEntry.js'

const PROPERTY_SEED = 20_261_203
const limits = { headerSizeBytes: 2_048, bodySizeBytes: 1_024, bodyDeadlineMs: 300, promptTokens: 8 }
let local: Awaited<ReturnType<typeof startLocalEntry>>
test.before(async () => { local = await startLocalEntry({ limits, log: { level: 'debug', file: '/dev/null' } }) })
test.after.always(async () => { await local[Symbol.asyncDispose]() })

/** Sends raw bytes on a new connection and returns what was received until it closed. */
async function sendRaw (bytes: Buffer | string): Promise<string> {
  const socket = net.connect(Number(local.entry.callerAddress.split(':')[1]), '127.0.0.1')
  let received = ''
  socket.on('data', chunk => { received += String(chunk) })
  socket.on('error', () => {})
  socket.write(bytes)
  await once(socket, 'close')
  return received
}

const requestHead = (lines: string[]): string => ['POST /v1/completions HTTP/1.1', 'host: h', `authorization: ${ACCOUNT_HEADERS.authorization}`, ...lines, '', ''].join('\r\n')

/** Sends a request and returns its status, content type and the fields of its problem details. */
async function requestProblem (options: Partial<Parameters<typeof request>[1]> & { path?: string }) {
  const { path = '/v1/completions', ...rest } = options
  const answer = await request(`${local.base}${path}`, { method: 'POST', headers: ACCOUNT_HEADERS, ...rest })
  const text = await answer.body.text()
  return { status: answer.statusCode, contentType: answer.headers['content-type'], ...(text === '' ? {} : JSON.parse(text) as Record<string, unknown>) }
}

test('requests over a limit or not allowed are answered with a verdict and a reason', async t => {
  const cases: Array<[Parameters<typeof requestProblem>[0], number, number]> = [
    [{ headers: {} }, 401, 102],
    [{ headers: { authorization: 'Bearer shop.wrong' } }, 401, 102],
    [{ body: 'x'.repeat(1_025) }, 413, 106],
    [{ body: 'not json' }, 400, 101],
    [{ body: JSON.stringify({ model: 'draft', prompt: 'a '.repeat(9) }) }, 413, 107],
    [{ body: JSON.stringify({ model: 'other', prompt: 'a' }) }, 404, 103],
    [{ path: '/nowhere' }, 404, 105],
    [{ path: '/%zz' }, 400, 101],
    [{ path: '/services/none/x' }, 404, 104]
  ]
  for (const [options, status, reason] of cases) {
    t.like(await requestProblem(options), { status, reason, verdict: 'notRun', contentType: 'application/problem+json' })
  }
  t.like(await requestProblem({ method: 'HEAD' }), { status: 404 })
})

test('an oversized header and malformed requests are answered with problem details', async t => {
  t.regex(await sendRaw(requestHead([`x: ${'a'.repeat(3_000)}`])), /^HTTP\/1.1 431 [^]*"reason":120,"verdict":"notRun"/)
  for (const bytes of ['hello\r\n\r\n', 'BREW /pot HTTP/1.1\r\n\r\n', 'GET / HTTP/1.1\r\nbad header\r\n\r\n']) {
    t.regex(await sendRaw(bytes), /^HTTP\/1.1 400 [^]*"reason":101,"verdict":"notRun"/)
  }
})

test('a body that arrives too slowly is refused at the deadline', async t => {
  t.regex(await sendRaw(requestHead(['content-length: 100']) + 'slow'), /^HTTP\/1.1 408 [^]*"reason":108,"verdict":"notRun"/)
})

test('100 Continue is sent only if the body will be read', async t => {
  const expect = ['expect: 100-continue', 'connection: close']
  t.regex(await sendRaw(requestHead([...expect, 'content-length: 2']) + '{}'), /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 400/)
  t.regex(await sendRaw(requestHead([...expect, 'content-length: 9999'])), /^HTTP\/1.1 413/)
  t.regex(await sendRaw('POST /v1/completions HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 2\r\n\r\n'), /^HTTP\/1.1 401/)
})

test('a refusal is explained by the operator port', async t => {
  const { instance } = await requestProblem({ path: '/nowhere' }) as unknown as { instance: string }
  const url = `${local.entry.daemon.operatorUrl}/v1/explain/${instance.replace('urn:coltsfootlead:refusal:', '')}`
  const answer = await request(url, { headers: OPERATOR_HEADERS })
  t.like(await answer.body.json(), { reason: 'unknownPath', facts: { revision: 1 }, host: 'host-1-entry' })
})

test.serial('a caller that stops reading and then goes away leaves nothing in flight', async t => {
  const socket = net.connect(Number(local.entry.callerAddress.split(':')[1]), '127.0.0.1')
  const body = JSON.stringify({ model: 'draft', prompt: 'a', stream: true, max_tokens: 8_000 })
  socket.write(requestHead([`content-length: ${body.length}`]) + body)
  await once(socket, 'data')
  socket.pause()
  t.is(local.entry.inFlight(), 1)
  socket.destroy()
  while (local.entry.inFlight() > 0) await new Promise(resolve => { setImmediate(resolve) })
  t.pass()
})

test.serial('arbitrary bytes are answered or disconnected, leave no request in flight and log no token', async t => {
  const line = fc.constantFrom('GET / HTTP/1.1', 'POST /v1/completions HTTP/1.1', 'OPTIONS * HTTP/1.1', 'CONNECT a:1 HTTP/1.1', 'HEAD //x HTTP/1.0', 'content-length: -1', 'transfer-encoding: chunked', 'expect: x', 'upgrade: y', `authorization: ${ACCOUNT_HEADERS.authorization}`, '', 'zz', '0')
  const lines = fc.array(line, { maxLength: 8 }).map(parts => Buffer.from(parts.join('\r\n') + '\r\n\r\n'))
  const noise = fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes))
  await fc.assert(fc.asyncProperty(fc.oneof(lines, noise, fc.tuple(lines, noise).map(parts => Buffer.concat(parts))), async bytes => {
    const socket = net.connect(Number(local.entry.callerAddress.split(':')[1]), '127.0.0.1')
    socket.on('error', () => {})
    socket.resume()
    socket.end(bytes)
    await once(socket, 'close')
  }), { seed: PROPERTY_SEED, numRuns: 200 })
  while (local.entry.inFlight() > 0) await new Promise(resolve => { setImmediate(resolve) })
  t.like(await requestProblem({ path: '/nowhere' }), { status: 404 })
  t.false(JSON.stringify(local.entry.daemon.log.recent()).includes('secret'))
})

test('an arbitrary body is valid or has faults, and an arbitrary authorization is rejected', t => {
  fc.assert(fc.property(fc.oneof(fc.uint8Array(), fc.json().map(text => Buffer.from(text))), bytes => {
    const parsed = parseCompletion(Buffer.from(bytes))
    return parsed.kind === 'valid' || parsed.faults.length > 0
  }), { seed: PROPERTY_SEED })
  const header = fc.oneof(fc.string(), fc.string().map(text => `Bearer ${text}`), fc.string().map(text => `Bearer shop.${text}`))
  fc.assert(fc.property(header, text => authenticate(text, { find: name => ({ name, tokenHash: 'sha256:00:11' }) }) === undefined), { seed: PROPERTY_SEED })
  t.pass()
})
