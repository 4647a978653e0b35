/**
 * A TCP proxy on the loopback that harms the connections through it: it delays, resets or
 * silences them, in one direction or both.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** What happens to bytes on their way. */
export type ProxyFault =
  | { kind: 'none' }
  | { kind: 'delay', delayMs: number }
  /** Connections are reset, new ones too. */
  | { kind: 'reset' }
  /** Bytes to the server, from it, or both are dropped, while connections stay open. */
  | { kind: 'silence', direction: 'up' | 'down' | 'both' }

/** A running proxy. */
export interface Proxy extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  setFault: (fault: ProxyFault) => void
}

/** Starts a proxy before the server at an address. */
export async function startProxy (server: string): Promise<Proxy> {
  const [host, port] = server.split(':')
  const sockets = new Set<Socket>()
  let fault: ProxyFault = { kind: 'none' }

  /** Passes one direction on; what is delayed is never overtaken by what comes after it. */
  function pass (from: Socket, to: Socket, direction: 'up' | 'down'): void {
    let dueMs = 0
    const queue: Array<() => void> = []
    const deliver = (action: () => void): void => {
      if (fault.kind === 'silence' && (fault.direction === direction || fault.direction === 'both')) return
      const nowMs = performance.now()
      dueMs = Math.max(dueMs, nowMs + (fault.kind === 'delay' ? fault.delayMs : 0))
      if (dueMs <= nowMs && queue.length === 0) return action()
      queue.push(action)
      setTimeout(() => queue.shift()!(), dueMs - nowMs)
    }
    from.on('data', bytes => deliver(() => to.write(bytes)))
    from.on('end', () => deliver(() => to.end()))
    // A peer that resets is what the faults are for; the other side sees it as a reset too.
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => {
      sockets.delete(from)
      deliver(() => to.destroySoon())
    })
  }

  const listener = createServer({ allowHalfOpen: true }, caller => {
    if (fault.kind === 'reset') {
      caller.resetAndDestroy()
      return
    }
    const upstream = connect({ host: host!, port: Number(port), allowHalfOpen: true })
    sockets.add(caller).add(upstream)
    pass(caller, upstream, 'up')
    pass(upstream, caller, 'down')
  })
  await new Promise<void>(resolve => { listener.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
    setFault (next) {
      // Connections whose bytes were dropped cannot go on.
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
