/**
 * Compares the reports to operators with the store and with the daemons' logs.
 */
import { isDeepStrictEqual } from 'node:util'

/** A submitted ticket with the last answer to it. */
export interface SubmissionReport {
  ticket: { number: number, scopes: Record<string, unknown> }
  status: number
  body: Record<string, any>
}

/** A recorded ticket as the operator port lists it. */
export interface ListedTicket {
  number: number
  acceptedRevision?: number
}

/** Finds answers that do not match the recorded outcome of their ticket. */
export function findMisreported (
  submitted: SubmissionReport[],
  listed: ListedTicket[],
  events: Array<Record<string, any>>
): SubmissionReport[] {
  const acceptedAt = new Map(listed.flatMap(ticket => ticket.acceptedRevision === undefined ? [] : [[ticket.number, ticket.acceptedRevision]]))
  const inForceEvents = events.filter(event => event.name === 'revisionInForce')
  const ticketByRevision = new Map(inForceEvents.map(event => [event.revision as number, event.ticket as number]))
  return submitted.filter(report => {
    const { number } = report.ticket
    const sameNumber = submitted.filter(other => other.ticket.number === number && other !== report)
    if (report.status === 200) {
      const hasOtherWinner = sameNumber.some(other => other.status === 200 && !isDeepStrictEqual(other.ticket, report.ticket))
      const ticketInForce = ticketByRevision.get(report.body.revision)
      return hasOtherWinner || acceptedAt.get(number) !== report.body.revision || (ticketInForce !== undefined && ticketInForce !== number)
    }
    if (report.status === 503) return false
    const isOtherAccepted = sameNumber.some(each => each.status === 200)
    const isAccepted = acceptedAt.has(number) || inForceEvents.some(event => event.ticket === number)
    return isAccepted && !isOtherAccepted
  })
}
