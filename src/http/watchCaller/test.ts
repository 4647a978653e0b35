import { once } from 'node:events'
import type http from 'node:http'
import { connect } from 'node:net'
import test from 'ava'
import { listen } from '../listen/index.js'
import { watchCaller } from './index.js'

const REQUEST = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'

/** Sends requests and resolves with the responses that their handler got. */
async function receive (text: string, count: number) {
  const responses: http.ServerResponse[] = []
  let noteAll = (): void => {}
  const all = new Promise<void>(resolve => { noteAll = resolve })
  const server = await listen(async (_request, response) => {
    if (responses.push(response) === count) noteAll()
  }, { address: '127.0.0.1', port: 0 })
  const [host, port] = server.address.split(':')
  const caller = connect(Number(port), host)
  caller.on('error', () => {})
  caller.write(text)
  await all
  return { server, caller, responses }
}

test('a caller that closes, resets or half-closes its connection is gone before the response is closed', async t => {
  for (const leave of ['destroy', 'resetAndDestroy', 'end'] as const) {
    const { server, caller, responses: [response] } = await receive(REQUEST, 1)
    const gone = new Promise<boolean>(resolve => { watchCaller(response!, () => resolve(response!.closed)) })
    caller[leave]()
    t.is(await gone, leave === 'resetAndDestroy')
    let calls = 0
    watchCaller(response!, () => { calls++ })
    t.is(calls, 1)
    await server[Symbol.asyncDispose]()
  }
})

test('an answered request leaves no listener on a kept connection', async t => {
  const { server, caller, responses: [response] } = await receive(REQUEST, 1)
  const { socket } = response!.req
  const before = socket.listenerCount('end')
  let calls = 0
  watchCaller(response!, () => { calls++ })
  response!.end('done')
  await once(response!, 'close')
  t.deepEqual([calls, socket.listenerCount('end')], [1, before])
  caller.destroy()
  await server[Symbol.asyncDispose]()
})
