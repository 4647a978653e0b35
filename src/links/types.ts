/**
 * Connections of this host to targets, its own ones and those that peers open for it.
 */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** An open connection to a target. */
export interface TargetConnection {
  socket: Duplex
  /** The peer through which it goes; `undefined` for a direct one. */
  relay: string | undefined
  /** Whether its end is the target's own; the end of a peer that passes the bytes on as they are looks the same. */
  isEndConfirmed: boolean
}

/** Opens a connection to a target at `ip:port`; rejects if none could be opened, so that no byte was sent. */
export type ConnectTarget = (address: string) => Promise<TargetConnection>

/** Opens a direct connection to `ip:port`. */
export type ConnectDirectly = (address: string) => Promise<Socket>

/** No connection could be opened, and whether the target can be reached by others is not known. */
export class OwnLinkError extends Error {}
