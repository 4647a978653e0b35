/**
 * A port on which connections neither open nor fail, as on a link that is cut: its queue of new
 * connections is full, and the thread that should take them stands still.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

const LISTENER = `
const { parentPort } = require('node:worker_threads')
const server = require('node:net').createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
  parentPort.postMessage(server.address().port)
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0)
})
`

/** Connections that a queue of length 1 takes on Linux. */
const QUEUED_CONNECTIONS = 2

/** Starts the port; resolves once its queue is full. */
export async function startSilentPort () {
  const worker = new Worker(LISTENER, { eval: true })
  const [port] = await once(worker, 'message') as [number]
  const queued: Socket[] = []
  for (let count = 0; count < QUEUED_CONNECTIONS; count++) {
    const socket = connect(port, '127.0.0.1')
    queued.push(socket)
    await once(socket, 'connect')
  }
  return {
    address: `127.0.0.1:${port}`,
    async [Symbol.asyncDispose] () {
      for (const socket of queued) socket.destroy()
      await worker.terminate()
    }
  }
}
