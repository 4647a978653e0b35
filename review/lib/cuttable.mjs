// A port before an engine that shows a partition to whoever connects at the moment: while it is cut, new
// connections hang (their opening packets are dropped, as the queue of new connections is full); later it
// can refuse new ones, while open ones live on. The listener runs in a thread that stands still for the cut.
import { once } from 'node:events'
import { connect } from 'node:net'
import { Worker } from 'node:worker_threads'

const LISTENER = `
const { parentPort, workerData } = require('node:worker_threads')
const net = require('node:net')
const flag = new Int32Array(workerData.flag)
const [host, port] = workerData.target.split(':')
const server = net.createServer({ allowHalfOpen: true }, near => {
  const far = net.connect({ host, port: Number(port), allowHalfOpen: true })
  near.on('error', () => far.resetAndDestroy())
  far.on('error', () => near.resetAndDestroy())
  near.on('close', () => far.destroy())
  near.pipe(far)
  far.pipe(near)
}).listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => parentPort.postMessage(server.address().port))
parentPort.on('message', order => {
  if (order === 'refuse') return server.close()
  parentPort.postMessage('cut')
  Atomics.wait(flag, 0, 1)
})
`

/** Connections that a queue of length 1 takes on Linux. */
const QUEUED_CONNECTIONS = 2

export async function startCuttablePort (target) {
  const flag = new Int32Array(new SharedArrayBuffer(4))
  const worker = new Worker(LISTENER, { eval: true, workerData: { flag: flag.buffer, target } })
  const [port] = await once(worker, 'message')
  let queued = []
  return {
    address: `127.0.0.1:${port}`,
    /** Resolves once new connections hang. */
    async cut () {
      Atomics.store(flag, 0, 1)
      worker.postMessage('cut')
      await once(worker, 'message')
      for (let count = 0; count < QUEUED_CONNECTIONS; count++) {
        const socket = connect(port, '127.0.0.1')
        socket.on('error', () => {})
        queued.push(socket)
        await once(socket, 'connect')
      }
    },
    heal () {
      for (const socket of queued) socket.destroy()
      queued = []
      Atomics.store(flag, 0, 0)
      Atomics.notify(flag, 0)
    },
    /** New connections are refused; open ones live on. */
    refuse () { worker.postMessage('refuse') },
    async close () { Atomics.store(flag, 0, 0); Atomics.notify(flag, 0); await worker.terminate() }
  }
}
