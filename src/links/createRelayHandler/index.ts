/**
 * Opens connections to targets for peers that cannot reach them, and passes the bytes on. A relayed
 * connection ends as the target's does: one that was reset is reset towards the peer as well, so
 * that a truncated answer does not look complete.
 */
import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { Target } from '../../fleet/types.js'
import { TARGET_UNREACHABLE_STATUS } from '../_lib/openRelay.js'

/** Statuses with which a peer is told that the address is no target, and that this host cannot tell whether the target can be reached. */
const NO_TARGET_STATUS = 404
const UNKNOWN_STATUS = 503

interface RelayHandlerOptions {
  /** Targets to which connections may be opened. */
  targets: () => readonly Target[]
  /** Opens a direct connection; `unknown` if its failure may be due to this host's own links. */
  connect: (address: string) => Promise<Socket | 'targetUnreachable' | 'unknown'>
  /** Called with each result. */
  onResult: (result: 'opened' | 'targetUnreachable' | 'refused') => void
}

/** Handler of CONNECT requests; its disposal closes the relayed connections. */
export interface RelayHandler extends AsyncDisposable {
  handle: (request: IncomingMessage, peer: Duplex, head: Buffer) => Promise<void>
  /** Resolves once no relayed connection is open, or when the signal aborts. */
  whenIdle: (signal: AbortSignal) => Promise<void>
}

/**
 * @name createRelayHandler
 * @summary Creates the handler of CONNECT requests of peers.
 * @param options - The targets, how to connect, and a callback for metrics.
 * @returns The handler.
 *
 * @example
 * const relay = createRelayHandler({ targets: fleet.targets, connect: links.connectForPeer, onResult })
 */
export function createRelayHandler ({ targets, connect, onResult }: RelayHandlerOptions): RelayHandler {
  const open = new Set<Socket>()
  const waiters = new Set<() => void>()

  function refuse (peer: Duplex, status: number): void {
    onResult(status === TARGET_UNREACHABLE_STATUS ? 'targetUnreachable' : 'refused')
    peer.end(`HTTP/1.1 ${status} Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
  }

  return {
    async handle ({ url: address = '' }, stream, head) {
      const peer = stream as Socket
      peer.on('error', () => { /* The close that follows ends the connection to the target. */ })
      if (!targets().some(target => target.address === address)) return refuse(peer, NO_TARGET_STATUS)
      const target = await connect(address)
      if (target === 'unknown') return refuse(peer, UNKNOWN_STATUS)
      if (target === 'targetUnreachable') return refuse(peer, TARGET_UNREACHABLE_STATUS)
      onResult('opened')
      open.add(peer)
      target.on('error', () => peer.resetAndDestroy())
      target.once('close', () => { if (!target.readableEnded) peer.destroy() })
      peer.once('close', () => {
        open.delete(peer)
        target.destroy()
        if (open.size === 0) for (const resolve of [...waiters]) resolve()
      })
      peer.setNoDelay(true)
      peer.write('HTTP/1.1 200 Connected\r\n\r\n')
      if (head.length > 0) target.write(head)
      peer.pipe(target)
      target.pipe(peer)
    },
    whenIdle (signal) {
      if (open.size === 0 || signal.aborted) return Promise.resolve()
      return new Promise(resolve => {
        const finish = (): void => {
          waiters.delete(finish)
          signal.removeEventListener('abort', finish)
          resolve()
        }
        waiters.add(finish)
        signal.addEventListener('abort', finish, { once: true })
      })
    },
    async [Symbol.asyncDispose] () {
      for (const peer of open) peer.destroy()
    }
  }
}
