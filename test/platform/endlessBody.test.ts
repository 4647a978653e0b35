import { createServer, type AddressInfo, type Socket } from 'node:net'
import { gzipSync } from 'node:zlib'
import test from 'ava'
import { createEngineControl } from '../../platform/createEngineControl.js'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { readPeerState } from '../../src/gateway/_lib/internalPort.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import type { Runtime } from '../../src/runtime/types.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createTestLog } from '../fakes/createTestLog.js'

const MIB = 2 ** 20

/** Bytes that a host may read of one answer, with those that are on their way in buffers of the system. */
const MAX_READ_BYTES = 40 * MIB

/** Bytes after which a sender stops; far more than a host may read. */
const MAX_SENT_BYTES = 128 * MIB

/** A runtime whose deadlines never pass, so that only a limit of the size can end an answer. */
const runtime: Runtime = { ...createSystemRuntime(), setTimer: () => ({ [Symbol.dispose]: () => {} }) }

/** Answers every request with a body without end; `sentBytes` counts all of them. */
async function startEndless (piece: Buffer = Buffer.alloc(MIB, ' '), headers = '') {
  let sentBytes = 0
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    const send = (): void => {
      if (socket.destroyed || sentBytes >= MAX_SENT_BYTES) return
      sentBytes += piece.length
      socket.write(piece, () => setImmediate(send))
    }
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${headers}\r\n`)
      send()
    })
  }).listen(0, '127.0.0.1')
  await new Promise(resolve => { server.once('listening', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sentBytes: () => sentBytes,
    async [Symbol.asyncDispose] () {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => resolve()) })
    }
  }
}

// The tests guard against answers without end that fill the memory of a host, from others than targets (LOST).
test('an answer of the store without end is given up before it fills the memory', async t => {
  await using endless = await startEndless()
  await using store = createPlatformStore({ address: endless.address, callTimeoutMs: 60_000, watchWaitMs: 100, watchGraceMs: 60_000, runtime, onCall: () => {} })
  const calls: Array<() => Promise<{ kind: string }>> = [
    () => store.list('servers/'),
    () => store.read('servers/i-1'),
    () => store.watch('servers/', 2, { signal: new AbortController().signal })
  ]
  for (const call of calls) {
    const before = endless.sentBytes()
    t.is((await call()).kind, 'unavailable')
    t.true(endless.sentBytes() - before <= MAX_READ_BYTES, `${endless.sentBytes() - before} bytes`)
  }
})

test('a state of a peer without end is given up before it fills the memory', async t => {
  await using endless = await startEndless()
  t.false(await readPeerState(endless.address, { fleet: createFleetState({ runtime }), runtime, log: createTestLog() }))
  t.true(endless.sentBytes() <= MAX_READ_BYTES, `${endless.sentBytes()} bytes`)
})

test('a state of a peer that is small only while it is compressed is given up', async t => {
  const state = gzipSync(Buffer.alloc(64 * MIB, ' '))
  await using endless = await startEndless(state, `Content-Encoding: gzip\r\nContent-Length: ${state.length}\r\n`)
  const log = createTestLog()
  t.false(await readPeerState(endless.address, { fleet: createFleetState({ runtime }), runtime, log }))
  t.regex(String(log.recent().at(-1)!.cause), /larger than/i)
})

test('an answer of an engine to a report or an order without end is given up before it fills the memory', async t => {
  await using endless = await startEndless()
  const control = createEngineControl({ runtime, log: createTestLog() })
  const target = { ...buildEngine('i-1', 'north', 'large'), address: endless.address }
  t.is(await control.report(target), undefined)
  await control.place(target, { from: 0, to: 8 }, { orderCount: 1, fencing: 1 })
  t.true(endless.sentBytes() <= MAX_READ_BYTES, `${endless.sentBytes()} bytes`)
})
