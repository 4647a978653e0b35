/**
 * Comparing what operators were told with what the store and the daemons' logs show.
 */
import { isDeepStrictEqual } from 'node:util'

/** One submission with the last report about it. */
export interface Submitted {
  ticket: { number: number, scopes: Record<string, unknown> }
  status: number
  body: Record<string, any>
}

/** A recorded ticket as the operator port lists it. */
export interface ListedTicket {
  number: number
  acceptedRevision?: number
}

/** Reports that do not equal what happened. */
export function findMisreported (
  submitted: Submitted[],
  listed: ListedTicket[],
  events: Array<Record<string, any>>
): Submitted[] {
  const acceptedAt = new Map(listed.flatMap(ticket => ticket.acceptedRevision === undefined ? [] : [[ticket.number, ticket.acceptedRevision]]))
  const seen = events.filter(event => event.name === 'revisionInForce')
  const madeBy = new Map(seen.map(event => [event.revision as number, event.ticket as number]))
  return submitted.filter(report => {
    const { number } = report.ticket
    const sameNumber = submitted.filter(other => other.ticket.number === number && other !== report)
    if (report.status === 200) {
      const wins = sameNumber.some(other => other.status === 200 && !isDeepStrictEqual(other.ticket, report.ticket))
      const shown = madeBy.get(report.body.revision)
      return wins || acceptedAt.get(number) !== report.body.revision || (shown !== undefined && shown !== number)
    }
    if (report.status === 503) return false
    const other = sameNumber.some(each => each.status === 200)
    const isAccepted = acceptedAt.has(number) || seen.some(event => event.ticket === number)
    return isAccepted && !other
  })
}
