/**
 * Finds ports for servers whose settings name one.
 */
import { once } from 'node:events'
import { createServer } from 'node:net'

/** Lowest port that is tried; all of them are below those that the system gives to outgoing connections. */
const FIRST_PORT = 10_000

/** Ports for one process, and number of processes after which they repeat. */
const PORTS_PER_PROCESS = 50
const PROCESSES = 400

let next = 0

/** A port that is free on the loopback interface, and that tests in other processes do not try. */
export async function findFreePort (): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + process.pid % PROCESSES * PORTS_PER_PROCESS + next++ % PORTS_PER_PROCESS
    const server = createServer()
    const isFree = await new Promise<boolean>(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => resolve(true))
    })
    if (!isFree) continue
    server.close()
    await once(server, 'close')
    return port
  }
}
