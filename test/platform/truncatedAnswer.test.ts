import { createServer, type AddressInfo } from 'node:net'
import test from 'ava'
import { createEngineControl } from '../../platform/createEngineControl.js'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { readPeerState } from '../../src/gateway/_lib/internalPort.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createTestLog } from '../fakes/createTestLog.js'

const runtime = createSystemRuntime()

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'

/** Answers every request with a text that neither a length nor chunks delimit, or with another head, and closes the connection. */
async function startClosing () {
  let [head, text] = [UNFRAMED_HEAD, '']
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(head + text))
  }).listen(0, '127.0.0.1')
  await new Promise(resolve => { server.once('listening', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    answerWith (nextText: string, nextHead = UNFRAMED_HEAD) { [head, text] = [nextHead, nextText] },
    [Symbol.asyncDispose]: () => new Promise<void>(resolve => { server.close(() => resolve()) })
  }
}

/** All texts that a broken connection may leave of one, but the whole. */
const prefixesOf = (text: string): string[] => Array.from({ length: text.length }, (_, length) => text.slice(0, length))

const ITEM = { metadata: { name: 'i-1', revision: 3 }, spec: { service: 'orders' } }

test('what a broken connection leaves of an answer of the store is no answer', async t => {
  await using peer = await startClosing()
  await using store = createPlatformStore({ address: peer.address, callTimeoutMs: 60_000, watchWaitMs: 100, watchGraceMs: 60_000, runtime, onCall: () => {} })
  const cases: Array<[object, () => Promise<{ kind: string }>, string]> = [
    [{ items: [ITEM], truncated: false, as_of: 12 }, () => store.list('servers/'), 'listed'],
    [ITEM, () => store.read('servers/i-1'), 'found'],
    [{ events: [{ object: ITEM, deleted: false }], as_of: 12 }, () => store.watch('servers/', 2, { signal: new AbortController().signal }), 'changes']
  ]
  for (const [body, call, whole] of cases) {
    const text = JSON.stringify(body)
    for (const prefix of prefixesOf(text)) {
      peer.answerWith(prefix)
      t.is((await call()).kind, 'unavailable', prefix)
    }
    peer.answerWith(text)
    t.is((await call()).kind, whole)
  }
})

test('what a broken connection leaves of the report of an engine is no report', async t => {
  await using peer = await startClosing()
  const control = createEngineControl({ runtime, log: createTestLog() })
  const target = { ...buildEngine('i-1', 'north', 'large'), address: peer.address }
  const text = JSON.stringify({ born: 12, sequence: 34, busy: false })
  for (const prefix of prefixesOf(text)) {
    peer.answerWith(prefix)
    t.is(await control.report(target), undefined, prefix)
  }
  peer.answerWith(text)
  t.like(await control.report(target), { bornMs: 12, orderCount: 34 })
})

test('what a broken connection leaves of the state of a peer changes nothing', async t => {
  await using peer = await startClosing()
  const fleet = createFleetState({ runtime })
  const log = createTestLog()
  const text = JSON.stringify({ configuration: null, targets: { revision: 12, fingerprint: 'x', isWhole: true, changed: [], removedIds: [], lapsing: [] } })
  for (const prefix of prefixesOf(text)) {
    peer.answerWith(prefix)
    t.false(await readPeerState(peer.address, { fleet, runtime, log }), prefix)
  }
  t.is(fleet.revision(), -1)
  peer.answerWith(text)
  t.true(await readPeerState(peer.address, { fleet, runtime, log }))
  t.is(fleet.revision(), 12)
})

// Guards against an engine's, a peer's or the store's unfinished head that counts as its answer (MIXED).
test('what a broken connection leaves of a head is no answer', async t => {
  await using peer = await startClosing()
  await using store = createPlatformStore({ address: peer.address, callTimeoutMs: 60_000, watchWaitMs: 100, watchGraceMs: 60_000, runtime, onCall: () => {} })
  const control = createEngineControl({ runtime, log: createTestLog() })
  const target = { ...buildEngine('i-1', 'north', 'large'), address: peer.address }
  const fleet = createFleetState({ runtime })
  const [accepted, absent, ok] = ['202 Accepted', '404 Not Found', '200 OK'].map(status => `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`) as [string, string, string]
  const cases: Array<[string, () => Promise<unknown>, unknown, unknown]> = [
    [accepted, async () => (await control.place(target, { from: 0, to: 8 }, { orderCount: 1, fencing: 1 })).kind, 'unknown', 'begun'],
    [ok, async () => (await control.repath(target, 'r1', [])).kind, 'unknown', 'done'],
    [absent, async () => (await store.read('servers/i-1')).kind, 'unavailable', 'absent'],
    [absent, async () => (await store.list('servers/')).kind, 'unavailable', 'listed'],
    [ok, async () => await readPeerState(peer.address, { fleet, runtime, log: createTestLog() }), false, false],
    [ok, async () => await control.report(target), undefined, undefined]
  ]
  for (const [head, call, ofCut, ofWhole] of cases) {
    for (const prefix of prefixesOf(head)) {
      peer.answerWith('', prefix)
      t.is(await call(), ofCut, prefix)
    }
    peer.answerWith('', head)
    t.is(await call(), ofWhole, head)
  }
})
