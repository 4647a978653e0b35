/**
 * Opens connections to targets for peers that cannot reach them, and passes the bytes on. A relayed
 * connection ends as the target's does: one that was reset is reset towards the peer as well, so
 * that a truncated answer does not look complete. A peer that asks for it gets the bytes in chunks, of
 * which the last one says that the target has closed its connection. A target counts this host as the
 * sender, so what it has asked of this host holds for these connections too, and so does that it leaves.
 */
import type { IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { Target } from '../../fleet/types.js'
import { pollInput } from '../../runtime/pollInput/index.js'
import { createWaiters } from '../../runtime/createWaiters/index.js'
import type { Runtime } from '../../runtime/types.js'
import { CHUNKED, createChunkEncoder, FRAMING_HEADER } from '../createChunkEncoder/index.js'
import { formatLeaving, LEAVING_HEADER } from '../_lib/leavingHeader.js'
import { TARGET_UNREACHABLE_STATUS } from '../_lib/openRelay.js'

/** Statuses with which a peer is told that the address is no target, and that this host cannot tell whether the target can be reached. */
const NO_TARGET_STATUS = 404
const UNKNOWN_STATUS = 503

/** Time for which a connection stays open beyond its longest use, as the host may have an earlier configuration, in milliseconds. */
const EXPIRY_SLACK_MS = 5_000

/** Time after which a host may ask again for a target that is not used here, in seconds; it reads the refusal as a pause of the target, which is not held against this peer. */
const UNUSED_RETRY_S = 1

/** Milliseconds in a second. */
const MS_PER_S = 1_000

interface RelayHandlerOptions {
  /** Targets to which connections may be opened, unless they are marked as leaving. */
  targets: () => readonly Target[]
  runtime: Runtime
  /** Longest time for which a call may use a connection, in milliseconds. */
  maxAgeMs: () => number
  /** Opens a direct connection; `unknown` if its failure may be due to this host's own links. */
  connect: (address: string) => Promise<Socket | 'targetUnreachable' | 'unknown'>
  /** Whether connections are opened at all; by default they always are. */
  isAccepting?: () => boolean
  /** Whether a target has said, itself or by its entry, that it leaves, and is not only left out for a time; by default all targets have that are marked as leaving. */
  hasLeft?: (target: Target) => boolean
  /** Time for which a target wants no requests from this host, in milliseconds; 0 by default. */
  pauseLeftMs?: (targetId: string) => number
  /** Called with the head of the answer on a connection, up to its empty line. */
  onAnswerHead?: (target: Target, head: string) => void
  /** Called with each result. */
  onResult: (result: 'opened' | 'targetUnreachable' | 'refused' | 'abandoned') => void
  /** Called with the number of connections that are open for peers, when it changes. */
  onOpenCount?: (count: number) => void
}

/** Answer to a peer that gets no connection. */
interface Refusal {
  status: number
  headers?: readonly string[]
}

const NOT_LISTED: Refusal = { status: NO_TARGET_STATUS }
const NOT_ACCEPTING: Refusal = { status: UNKNOWN_STATUS }

/** Longest head of an answer that is read, in bytes. */
const MAX_HEAD_BYTES = 16_384

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
 * const relay = createRelayHandler({ targets: fleet.targets, runtime, maxAgeMs, connect: links.connectForPeer, onResult })
 */
export function createRelayHandler ({ targets, runtime, maxAgeMs, connect, isAccepting = () => true, hasLeft = ({ isLeaving }) => isLeaving, pauseLeftMs = () => 0, onAnswerHead = () => {}, onResult, onOpenCount = () => {} }: RelayHandlerOptions): RelayHandler {
  const open = new Set<Socket>()
  const waiters = createWaiters()

  /** The target at an address; one that leaves may still be listed beside the one that has its address now. */
  function findTarget (address: string): Target | undefined {
    const listed = targets().filter(candidate => candidate.address === address)
    return listed.find(candidate => !candidate.isLeaving) ?? listed[0]
  }

  const findInstance = ({ id, bornMs }: Target): Target | undefined => targets().find(candidate => candidate.id === id && candidate.bornMs === bornMs)

  /** Why a target gets no connection now; `undefined` if it does. */
  function findRefusal (target: Target | undefined): Refusal | undefined {
    if (!isAccepting()) return NOT_ACCEPTING
    if (target === undefined) return NOT_LISTED
    const retryS = target.isLeaving ? UNUSED_RETRY_S : pauseLeftMs(target.id) / MS_PER_S
    if (retryS === 0) return undefined
    const named = target.isLeaving && hasLeft(target) ? [`${LEAVING_HEADER}: ${formatLeaving(target)}`] : []
    return { status: UNKNOWN_STATUS, headers: [`Retry-After: ${retryS}`, ...named] }
  }

  function refuse (peer: Duplex, { status, headers = [] }: Refusal): void {
    onResult(status === TARGET_UNREACHABLE_STATUS ? 'targetUnreachable' : 'refused')
    peer.end([`HTTP/1.1 ${status} Refused`, ...headers, 'Content-Length: 0', 'Connection: close', '', ''].join('\r\n'))
  }

  /** Reads the head of the answer that passes through a connection. */
  function watchHead (target: Target, socket: Socket): void {
    let head = ''
    const read = (bytes: Buffer): void => {
      head += bytes.toString('latin1')
      const end = head.indexOf('\r\n\r\n')
      if (end < 0 && head.length < MAX_HEAD_BYTES) return
      socket.off('data', read)
      if (end >= 0) onAnswerHead(target, head.slice(0, end))
    }
    socket.on('data', read)
  }

  return {
    async handle ({ url: address = '', headers }, stream, head) {
      const peer = stream as Socket
      peer.on('error', () => { /* The close that follows ends the connection to the target. */ })
      const listed = findTarget(address)
      const refusal = findRefusal(listed)
      if (listed === undefined || refusal !== undefined) return refuse(peer, refusal ?? NOT_LISTED)
      const target = await connect(address)
      if (target === 'unknown') return refuse(peer, { status: UNKNOWN_STATUS })
      if (target === 'targetUnreachable') return refuse(peer, { status: TARGET_UNREACHABLE_STATUS })
      if (peer.destroyed || peer.readableEnded) {
        onResult('abandoned')
        peer.destroy()
        target.destroy()
        return
      }
      const laterRefusal = findRefusal(findInstance(listed))
      if (laterRefusal !== undefined) {
        target.destroy()
        return refuse(peer, laterRefusal)
      }
      onResult('opened')
      open.add(peer)
      onOpenCount(open.size)
      target.on('error', () => peer.resetAndDestroy())
      target.once('close', () => { if (!target.readableEnded) peer.destroy() })
      // A host that is cut off sends no close.
      const expiry = runtime.setTimer(maxAgeMs() + EXPIRY_SLACK_MS, () => peer.destroy())
      // A host never half-closes a connection that it still needs.
      peer.once('end', () => target.destroy())
      peer.once('close', () => {
        expiry[Symbol.dispose]()
        open.delete(peer)
        onOpenCount(open.size)
        target.destroy()
        if (open.size === 0) waiters.release()
      })
      peer.setNoDelay(true)
      const isFramed = headers[FRAMING_HEADER] === CHUNKED
      peer.write(`HTTP/1.1 200 Connected\r\n${isFramed ? `${FRAMING_HEADER}: ${CHUNKED}\r\n` : ''}\r\n`)
      if (head.length > 0) peer.unshift(head)
      passOn(peer, target)
      const output = isFramed ? createChunkEncoder() : peer
      if (output !== peer) output.pipe(peer)
      target.pipe(output, { end: false })
      // A target that was reset is destroyed by then; its error resets the peer's connection.
      target.once('end', () => { if (!target.destroyed) output.end() })
      watchHead(listed, target)
    },
    whenIdle (signal) {
      return open.size === 0 ? Promise.resolve() : waiters.wait(signal)
    },
    async [Symbol.asyncDispose] () {
      for (const peer of open) peer.destroy()
    }
  }
}

/** Passes a request on to a target. The host may have left while this process stood still, so its first bytes wait until a close would have been read. */
function passOn (peer: Socket, target: Socket): void {
  peer.once('data', async (first: Buffer) => {
    const held = [first]
    const hold = (bytes: Buffer): void => { held.push(bytes) }
    peer.on('data', hold)
    await pollInput()
    peer.off('data', hold)
    if (target.destroyed) return
    for (const bytes of held) target.write(bytes)
    peer.pipe(target)
  })
}
