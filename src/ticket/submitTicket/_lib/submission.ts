/**
 * What the steps of one submission share.
 */
import type { Configuration } from '../../../configuration/types.js'
import type { EventLog } from '../../../event/types.js'
import type { ListedHost } from '../../../hostList/types.js'
import type { ObjectStore } from '../../../objectApi/types.js'
import { sleep } from '../../../runtime/sleep/index.js'
import type { Runtime } from '../../../runtime/types.js'
import type { Ticket, TicketOutcome } from '../../types.js'

/** Wait before the second try of a step; doubled up to the maximum, with jitter. */
const FIRST_RETRY_MS = 20
const MAX_RETRY_MS = 500

/** What a submission works with. */
export interface SubmitTicketOptions {
  store: ObjectStore
  runtime: Runtime
  log: EventLog
  /** Name of the operator, kept with the record. */
  operator: string
  /** The configuration in force on this host, so that a store restored to an older state is noticed. */
  configurationInForce?: () => Configuration
  /** Takes a configuration that this submission brought about, before any watch tells of it. */
  onAccepted?: (configuration: Configuration) => void
  /** Highest revision that any member reports. */
  highestRevision?: () => number
  /** The platform's host list as far as it can be read now. */
  hosts?: () => Promise<ListedHost[] | undefined>
}

/** One submission under way. */
export interface Submission {
  ticket: Ticket
  digest: string
  options: SubmitTicketOptions
  /** Waits before another try, longer each time. */
  pause: (attempt: number) => Promise<void>
}

/** Outcome of a submission that cannot tell whether the ticket is or will be accepted. */
export function undecided (number: number, cause: string): TicketOutcome {
  return { kind: 'uncertain', number, cause }
}

/** Waits with jitter, so that competing submissions fall out of step. */
export function createPause (runtime: Runtime): Submission['pause'] {
  return async attempt => {
    const longestMs = Math.min(FIRST_RETRY_MS * 2 ** attempt, MAX_RETRY_MS)
    await sleep(longestMs * (0.5 + runtime.random() / 2), { runtime })
  }
}
