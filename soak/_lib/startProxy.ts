/**
 * A TCP proxy on the loopback that injects faults into its connections: it delays data, resets
 * connections, or drops data in one direction or both.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** What the proxy does with connections and their data. */
export type ProxyFault =
  | { kind: 'none' }
  | { kind: 'delay', delayMs: number }
  /** Open and new connections are reset. */
  | { kind: 'reset' }
  /** Data to the server (`up`), from it (`down`) or both is dropped; connections stay open. */
  | { kind: 'silence', direction: 'up' | 'down' | 'both' }

/** A running proxy. */
export interface Proxy extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  setFault: (fault: ProxyFault) => void
}

/** Starts a proxy to the server at an address. */
export async function startProxy (server: string): Promise<Proxy> {
  const [host, port] = server.split(':')
  const sockets = new Set<Socket>()
  let fault: ProxyFault = { kind: 'none' }

  /** Forwards one direction; later data never overtakes delayed data. */
  function forward (from: Socket, to: Socket, direction: 'up' | 'down'): void {
    let dueMs = 0
    const queue: Array<() => void> = []
    const forwardInOrder = (action: () => void): void => {
      if (fault.kind === 'silence' && (fault.direction === direction || fault.direction === 'both')) return
      const nowMs = performance.now()
      dueMs = Math.max(dueMs, nowMs + (fault.kind === 'delay' ? fault.delayMs : 0))
      if (dueMs <= nowMs && queue.length === 0) return action()
      queue.push(action)
      setTimeout(() => queue.shift()!(), dueMs - nowMs)
    }
    from.on('data', bytes => forwardInOrder(() => to.write(bytes)))
    from.on('end', () => forwardInOrder(() => to.end()))
    // A reset is an expected fault; it is forwarded to the other side.
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => {
      sockets.delete(from)
      forwardInOrder(() => to.destroySoon())
    })
  }

  const listener = createServer({ allowHalfOpen: true }, caller => {
    if (fault.kind === 'reset') {
      caller.resetAndDestroy()
      return
    }
    const upstream = connect({ host: host!, port: Number(port), allowHalfOpen: true })
    sockets.add(caller).add(upstream)
    forward(caller, upstream, 'up')
    forward(upstream, caller, 'down')
  })
  await new Promise<void>(resolve => { listener.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
    setFault (next) {
      // Connections that have lost data cannot be used any more.
      const isEnding = next.kind === 'reset' || fault.kind === 'silence'
      fault = next
      if (isEnding) for (const socket of sockets) socket.resetAndDestroy()
    },
    [Symbol.asyncDispose]: () => new Promise(resolve => {
      listener.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}
