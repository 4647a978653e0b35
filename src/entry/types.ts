/**
 * Types shared by the request handlers of the entry daemon.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Daemon } from '../daemon/types.js'
import type { EngineClient } from '../engine/types.js'
import type { Admission } from '../limit/types.js'
import type { LinkFaults } from '../pipeline/createLinkFaults/index.js'
import type { ServiceClient } from '../service/types.js'
import type { Account } from '../ticket/types.js'

/** Dependencies shared by all handlers of the caller port. */
export interface EntryContext {
  daemon: Daemon
  engines: EngineClient
  services: ServiceClient
  linkFaults: LinkFaults
  admission: Admission
  /** Registers a task that goes on after its response was sent, so that shutdown waits for it. */
  keep: (task: Promise<void>) => void
}

/** An HTTP request at the caller port whose account is authenticated and whose body was read. */
export interface CallerCall {
  /** ID of the request, a UUID. */
  request: string
  account: Account
  incoming: IncomingMessage
  response: ServerResponse
  body: Buffer
  /** Aborts when the response is closed: the caller disconnected, or the response was sent. */
  signal: AbortSignal
}
