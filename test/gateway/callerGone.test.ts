import { once } from 'node:events'
import { connect } from 'node:net'
import test from 'ava'
import type { Target } from '../../src/fleet/types.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END } from '../../standin/platform/servePlatformEngine/index.js'
import { standStillForCaller } from '../fakes/standStill.js'
import { sendCall, startTestGateway } from '../fakes/startTestGateway.js'

const buildRequest = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: studio.example\r\nAuthorization: Token secret\r\nRequest-Id: left\r\nDeadline-Ms: 4000\r\nToken-Usage: 100,40\r\nContent-Length: 0\r\n\r\n`

/** A gateway in front of one target that serves calls and streams. */
async function startOne (options: Parameters<typeof startTestGateway>[1] = {}) {
  const engine = await servePlatformEngine((request, socket) => {
    if (request.path.startsWith('/stream/')) socket.end(buildStreamHead(request) + encodeEvents([1]) + STREAM_END)
    else socket.end(buildAnswer(request, 'done'))
  })
  const target: Target = { id: 'i-1', service: 'orders', address: engine.address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 100 }
  const stages = [{ from: 0, to: 30 }, { from: 30, to: 60 }, { from: 60, to: 80 }]
  const gateway = await startTestGateway([target, ...stages.map((layers, index) => ({ ...target, id: `i-2${index}`, service: 'model', kind: 'large', layers }))], options)
  return {
    engine,
    gateway,
    async untilGone () {
      while (!gateway.parts.log.recent().some(({ name }) => name === 'callerGone')) await new Promise(resolve => { setImmediate(resolve) })
    },
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await engine[Symbol.asyncDispose]()
    }
  }
}

// The request and the close of its caller are read in one go after the host has stood still.
for (const path of ['/unsafe/x', '/safe/x', '/stream/x']) {
  test(`a host that stood still sends no request to ${path} on after its caller has left`, async t => {
    await using one = await startOne()
    await standStillForCaller(one.gateway.address, { text: buildRequest(path) })
    await one.untilGone()
    t.is((await sendCall(one.gateway.address, path, {}, '')).status, 200)
    t.deepEqual(one.engine.received.map(({ headers }) => headers['request-id']), ['r1'])
  })
}

test('a target is not suspected when a caller leaves while the connection to the target opens', async t => {
  let noteConnect = (): void => {}
  const connecting = new Promise<void>(resolve => { noteConnect = resolve })
  await using one = await startOne({
    connectDirectly () {
      noteConnect()
      return new Promise(() => {})
    }
  })
  const [host, port] = one.gateway.address.split(':')
  const caller = connect(Number(port), host)
  caller.write(buildRequest('/unsafe/x'))
  await connecting
  caller.destroy()
  await one.untilGone()
  t.false(one.gateway.parts.suspicions.isDown('i-1'))
})

test('a call goes to another target when the first one closes its connection before the request is sent', async t => {
  const closedIds = new Set(['i-1'])
  await using one = await startOne({
    async connectDirectly (address) {
      const [host, port] = address.split(':')
      const socket = connect(Number(port), host)
      await once(socket, 'connect')
      if (closedIds.delete('i-1')) {
        socket.destroy()
        await once(socket, 'close')
      }
      return socket
    }
  })
  one.gateway.parts.fleet.applySnapshot({ revision: 2, targets: ['i-1', 'i-2'].map(id => ({ id, service: 'orders', address: one.engine.address, failureDomain: 'north', bornMs: 1, isLeaving: false, slots: 100 })) })
  t.is((await sendCall(one.gateway.address, '/unsafe/x', {}, '')).status, 200)
  t.is(one.engine.received.length, 1)
})
