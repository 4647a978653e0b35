/**
 * Opens a connection within a time limit.
 */
import { connect, type Socket } from 'node:net'
import { failOnReset } from '../_lib/failOnReset.js'
import type { Runtime } from '../../runtime/types.js'

/**
 * @name connectSocket
 * @summary Opens a TCP connection.
 * @param address - `ip:port`.
 * @param options - Time limit in milliseconds, and the runtime.
 * @returns The open connection; rejects if there is none in time. A reset is always an error of it, never its end.
 *
 * @example
 * const socket = await connectSocket('10.1.64.38:8381', { timeoutMs: 100, runtime })
 */
export function connectSocket (address: string, { timeoutMs, runtime }: { timeoutMs: number, runtime: Runtime }): Promise<Socket> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const socket = connect({ host: host!, port: Number(port), noDelay: true })
    const fail = (error: Error): void => {
      timer[Symbol.dispose]()
      socket.destroy()
      reject(error)
    }
    const cancel = (): void => { if (socket.connecting) fail(new Error('connect timed out')) }
    // After a stall the event loop runs timers before socket events: wait for the poll phase, so that a connect that has succeeded meanwhile counts.
    const timer = runtime.setTimer(timeoutMs, () => setImmediate(cancel))
    socket.once('error', fail)
    socket.once('connect', () => {
      timer[Symbol.dispose]()
      socket.off('error', fail)
      failOnReset(socket)
      resolve(socket)
    })
  })
}
