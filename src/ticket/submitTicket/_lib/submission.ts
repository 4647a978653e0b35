/**
 * State and helpers that the steps of a submission share.
 */
import type { Configuration } from '../../../configuration/types.js'
import type { EventLog } from '../../../event/types.js'
import type { ListedHost } from '../../../hostList/types.js'
import type { ObjectStore } from '../../../objectApi/types.js'
import { sleep } from '../../../runtime/sleep/index.js'
import type { Runtime } from '../../../runtime/types.js'
import type { Ticket, TicketOutcome } from '../../types.js'

/** Bounds of the wait between attempts, which doubles with each attempt and has jitter. */
const FIRST_RETRY_MS = 20
const MAX_RETRY_MS = 500

/** Dependencies of a submission, and the state of this host that it takes into account. */
export interface SubmitTicketOptions {
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  /** Name of the operator, stored in the ticket's record. */
  operator: string
  /** The configuration in force on this host, used to detect a store that was restored to an older state. */
  configurationInForce?: () => Configuration
  /** Called with the new configuration when the ticket is accepted, before any watch reports it. */
  onAccepted?: (configuration: Configuration) => void
  /** The highest revision that any member reports. */
  highestRevision?: () => number
  /** The platform's host list; `undefined` if it cannot be read now. */
  hosts?: () => Promise<ListedHost[] | undefined>
}

/** A submission in progress. */
export interface Submission {
  ticket: Ticket
  digest: string
  options: SubmitTicketOptions
  /** Waits before the attempt with the given index, longer for later ones. */
  pause: (attempt: number) => Promise<void>
}

/** Outcome for when it is not known whether the ticket was accepted or still may be. */
export function uncertainOutcome (number: number, cause: string): TicketOutcome {
  return { kind: 'uncertain', number, cause }
}

/** Exponential backoff with jitter, so that competing submissions do not retry at the same time. */
export function createRetryPause (runtime: Runtime): Submission['pause'] {
  return async attempt => {
    const maxDelayMs = Math.min(FIRST_RETRY_MS * 2 ** attempt, MAX_RETRY_MS)
    await sleep(maxDelayMs * (0.5 + runtime.random() / 2), { runtime })
  }
}
