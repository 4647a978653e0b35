/**
 * Connections of this host to targets.
 */
import type { Socket } from 'node:net'

/** Opens a connection to a target at `ip:port`; rejects if none could be opened, so that no byte was sent. */
export type ConnectTarget = (address: string) => Promise<Socket>
