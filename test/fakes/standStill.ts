/**
 * A caller in a thread of its own, which sends and leaves while the event loop of this thread stands
 * still, as a host does that is paused or lacks processor time.
 */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'

const CALLER = `
const { workerData: { host, port, greeting, text, flags }, parentPort } = require('node:worker_threads')
const socket = require('node:net').connect(port, host)
socket.on('error', () => {})
function sendAndLeave () {
  Atomics.wait(flags, 0, 0)
  socket.write(text, () => socket.destroy())
  socket.once('close', () => {
    Atomics.store(flags, 1, 1)
    Atomics.notify(flags, 1)
  })
}
if (greeting === '') {
  parentPort.postMessage('ready')
  sendAndLeave()
} else {
  socket.write(greeting)
  socket.once('data', () => {
    parentPort.postMessage('ready')
    sendAndLeave()
  })
}
`

/**
 * Lets a caller send `text` and close its connection while this thread stands still. With a `greeting`, it sends
 * that before and waits for the answer; else it opens its connection meanwhile too. This thread stands still until the
 * caller has left, and for `forMs` more.
 */
export async function standStillForCaller (address: string, { greeting = '', text, forMs = 0 }: { greeting?: string, text: string, forMs?: number }): Promise<void> {
  const [host, port] = address.split(':')
  const flags = new Int32Array(new SharedArrayBuffer(8))
  const worker = new Worker(CALLER, { eval: true, workerData: { host, port: Number(port), greeting, text, flags } })
  await once(worker, 'message')
  Atomics.store(flags, 0, 1)
  Atomics.notify(flags, 0)
  Atomics.wait(flags, 1, 0)
  if (forMs > 0) Atomics.wait(flags, 1, 1, forMs)
}
