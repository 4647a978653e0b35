import { once } from 'node:events'
import http from 'node:http'
import { connect, createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { createEngineControl } from '../../platform/createEngineControl.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'
import { startSilentPort } from '../fakes/startSilentPort.js'

const engineAt = (address: string) => ({ ...buildEngine('i-1', 'north', 'small'), address })

/** A listening port that counts its connections and closes them at once. */
async function startListener () {
  let connections = 0
  const server = createServer(socket => {
    connections++
    socket.destroy()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections: () => connections,
    [Symbol.asyncDispose]: () => new Promise<void>(resolve => { server.close(() => resolve()) })
  }
}

test('an engine that takes a connection is reachable after one try', async t => {
  await using listener = await startListener()
  // The manual runtime fires no timers, so a second connection could only be one opened along with the first.
  const control = createEngineControl({ runtime: createManualRuntime(), log: createTestLog() })
  t.true(await control.isReachable(engineAt(listener.address)))
  // Connections are accepted in order: once this one has been, so have all that were opened before it.
  const [host, port] = listener.address.split(':')
  await once(connect({ host: host!, port: Number(port) }).resume(), 'close')
  t.is(listener.connections(), 2)
})

test('an engine that refuses connections is not reachable', async t => {
  const listener = await startListener()
  await listener[Symbol.asyncDispose]()
  const control = createEngineControl({ runtime: createSystemRuntime(), log: createTestLog() })
  t.false(await control.isReachable(engineAt(listener.address)))
})

test('an engine that does not answer is not reachable after the deadline', async t => {
  const control = createEngineControl({ runtime: createSystemRuntime(), log: createTestLog() })
  // An address reserved for documentation (RFC 5737), where nothing answers.
  t.false(await control.isReachable(engineAt('192.0.2.1:9')))
})

test('an order or a report over a silent link ends at its deadline', async t => {
  await using port = await startSilentPort()
  const runtime = createManualRuntime()
  const control = createEngineControl({ runtime, log: createTestLog() })
  const ended: string[] = []
  control.repath(engineAt(port.address), 'r1', []).then(({ kind }) => ended.push(kind))
  control.report(engineAt(port.address)).then(report => ended.push(String(report)))
  await runtime.advance(400)
  await runtime.settle()
  t.deepEqual(ended, ['unknown', 'undefined'])
})

test('an address that no socket takes counts as not reachable, and no timer throws', async t => {
  const runtime = createManualRuntime()
  const control = createEngineControl({ runtime, log: createTestLog() })
  for (const address of ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x']) {
    const isReachable = control.isReachable(engineAt(address))
    isReachable.catch(() => { /* Looked at below. */ })
    await t.notThrowsAsync(runtime.advance(100), address)
    t.false(await isReachable, address)
  }
})

/** An engine whose reports are pieces of text, without an end if there are more of them. */
async function startReporter (pieces: Iterable<string>) {
  const server = http.createServer(async (_request, response) => {
    response.writeHead(200, { 'content-type': 'application/json' })
    for (const piece of pieces) {
      if (response.destroyed) break
      await new Promise<void>(resolve => { response.write(piece, () => resolve()) })
    }
    response.end()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: () => new Promise<void>(resolve => {
      server.closeAllConnections()
      server.close(() => resolve())
    })
  }
}

test('a report without end is not read to the deadline', async t => {
  function * repeat (): Iterable<string> {
    for (;;) yield ' '.repeat(65_536)
  }
  await using reporter = await startReporter(repeat())
  const log = createTestLog()
  // No timer fires, so only the size ends the report.
  const control = createEngineControl({ runtime: createManualRuntime(), log })
  t.is(await control.report(engineAt(reporter.address)), undefined)
  t.is(log.recent().at(-1)?.name, 'targetUnavailable')
})

test('an odd report is none', async t => {
  const report = { born: 5, sequence: 3, busy: false, layers: { from: 0, to: 8, version: 1 } }
  const nested = `${'['.repeat(20_000)}${']'.repeat(20_000)}`
  const control = createEngineControl({ runtime: createManualRuntime(), log: createTestLog() })
  const read = async (text: string) => {
    await using reporter = await startReporter([text])
    return await control.report(engineAt(reporter.address))
  }
  t.deepEqual(await read(JSON.stringify(report)), { bornMs: 5, orderCount: 3, isBusy: false, layers: { from: 0, to: 8 } })
  t.is((await read(JSON.stringify({ ...report, layers: { from: 0, to: 2 ** 53 - 1 } })))?.layers, undefined)
  t.is((await read(JSON.stringify({ ...report, layers: 'HERE' }).replace('"HERE"', nested)))?.layers, undefined)
  for (const odd of ['null', '[]', nested, '{"born":', ...['born', 'sequence'].flatMap(field => ['1e308', '1e999', '-1', '1.5', 'null'].map(value => JSON.stringify({ ...report, [field]: 'HERE' }).replace('"HERE"', value)))]) {
    t.is(await read(odd), undefined, odd.slice(0, 60))
  }
})
