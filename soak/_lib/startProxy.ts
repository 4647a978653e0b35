/**
 * A TCP proxy on the loopback that injects faults into its connections: it delays data, resets
 * connections, or drops data in one direction or both.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { pollInput } from '../../src/runtime/pollInput/index.js'

/** Addresses that only proxies use, so that nothing else takes the port of one that does not listen. */
const NETWORK = `127.${201 + process.pid % 50}`

const ADDRESSES_PER_NETWORK = 250

let proxyCount = 0

/** Returns an address that no other proxy of this process has had. */
export function nextProxyIp (): string {
  return `${NETWORK}.${Math.floor(proxyCount / ADDRESSES_PER_NETWORK) % ADDRESSES_PER_NETWORK}.${1 + proxyCount++ % ADDRESSES_PER_NETWORK}`
}

/** What the proxy does with connections and their data. */
export type ProxyFault =
  | { kind: 'none' }
  | { kind: 'delay', delayMs: number }
  /** Open and new connections are reset. */
  | { kind: 'reset' }
  /** Open connections are reset, and nothing listens at the address, as when a process has ended. */
  | { kind: 'refuse' }
  /** Data to the server (`up`), from it (`down`) or both is dropped; connections stay open. */
  | { kind: 'silence', direction: 'up' | 'down' | 'both' }

/** A running proxy. */
export interface Proxy extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  setFault: (fault: ProxyFault) => void
}

/** Resets a connection. `resetAndDestroy` would end it first, which is all that the end of an answer without a length is. */
export function reset (socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true }).destroy()
}

/** Starts a proxy to the server at an address; it listens at a port of its own by default. */
export async function startProxy (server: string, { ip = nextProxyIp(), port: wantedPort = 0 }: { ip?: string, port?: number } = {}): Promise<Proxy> {
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
    from.on('data', async bytes => {
      // After a time in which this process did not run, the end of a connection can follow right behind its request.
      if (direction === 'up') await pollInput()
      if (direction === 'down' || !(from.readableEnded || from.destroyed)) forwardInOrder(() => to.write(bytes))
    })
    from.on('end', () => forwardInOrder(() => to.end()))
    // A reset is an expected fault; it is forwarded to the other side.
    from.on('error', () => { reset(to) })
    from.on('close', () => {
      sockets.delete(from)
      forwardInOrder(() => to.destroySoon())
    })
  }

  const listener = createServer({ allowHalfOpen: true }, caller => {
    if (fault.kind === 'reset') {
      reset(caller)
      return
    }
    const upstream = connect({ host: host!, port: Number(port), allowHalfOpen: true })
    sockets.add(caller).add(upstream)
    forward(caller, upstream, 'up')
    forward(upstream, caller, 'down')
  })
  await new Promise<void>(resolve => { listener.listen(wantedPort, ip, resolve) })
  const { port: ownPort } = listener.address() as AddressInfo
  return {
    address: `${ip}:${ownPort}`,
    setFault (next) {
      // Connections that have lost data cannot be used any more.
      const isEnding = next.kind === 'reset' || next.kind === 'refuse' || fault.kind === 'silence'
      fault = next
      if (next.kind === 'refuse') listener.close()
      else if (!listener.listening) listener.listen(ownPort, ip)
      if (isEnding) for (const socket of sockets) reset(socket)
    },
    [Symbol.asyncDispose]: () => new Promise(resolve => {
      // Fails if the listener is closed already.
      listener.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}
