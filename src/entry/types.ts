/**
 * What the entry's handlers work with.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Daemon } from '../daemon/types.js'
import type { EngineClient } from '../engine/types.js'
import type { Admission } from '../limit/types.js'
import type { LinkFaults } from '../pipeline/createLinkFaults/index.js'
import type { ServiceClient } from '../service/types.js'
import type { Account } from '../ticket/types.js'

/** Parts that every handler of the caller port needs. */
export interface EntryContext {
  daemon: Daemon
  engines: EngineClient
  services: ServiceClient
  admission: Admission
  linkFaults: LinkFaults
  /** Takes over a task that outlives its answer; shutdown waits for it. */
  keep: (task: Promise<void>) => void
}

/** One call at the caller port, after its account is known. */
export interface CallerCall {
  /** Identity of the request. */
  request: string
  account: Account
  incoming: IncomingMessage
  response: ServerResponse
  body: Buffer
  /** Aborts when the caller goes away. */
  signal: AbortSignal
}
