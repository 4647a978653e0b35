import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { pollInput } from './index.js'

test('the end of a connection that arrived with the bytes before it is read', async t => {
  const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }).listen(0, '127.0.0.1')
  t.teardown(() => server.close())
  await once(server, 'listening')
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
  t.teardown(() => caller.destroy())
  const [socket] = await once(server, 'connection') as [Socket]
  let hasEnded = false
  socket.once('end', () => { hasEnded = true })
  caller.end('bytes')
  await once(caller, 'finish')
  socket.resume()
  await once(socket, 'data')
  t.false(hasEnded)
  await pollInput()
  t.true(hasEnded)
})
