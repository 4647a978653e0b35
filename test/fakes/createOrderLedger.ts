/**
 * A fake order service that records the bookings that took effect; a test chooses the outcome of
 * each send.
 */
import type { StatusResult } from '../../src/booking/types.js'
import type { ServiceResult } from '../../src/service/types.js'

/** Outcome of one send: whether the booking takes effect, and whether the sender gets the answer or is killed while it waits. */
export type SendOutcome = 'answered' | 'unreachable' | 'lostAfterEffect' | 'lostBeforeEffect' | 'killedAfterEffect' | 'killedBeforeEffect'

/** The service's answer to a booking that took effect. */
export const ORDER_ANSWER = { status: 201, contentType: 'application/json', body: Buffer.from('{"confirmation":1}') }

/** Creates a service without bookings; `effects` lists the senders whose booking took effect. */
export function createOrderLedger () {
  const effects: string[] = []
  return {
    effects,
    async send (sender: string, outcome: SendOutcome = 'answered'): Promise<ServiceResult> {
      if (outcome === 'unreachable') return { kind: 'unreachable', cause: 'refused' }
      if (!outcome.endsWith('BeforeEffect')) effects.push(sender)
      if (outcome.startsWith('killed')) return await new Promise(() => {})
      return outcome === 'answered' ? { kind: 'answered', ...ORDER_ANSWER } : { kind: 'lost', cause: 'reset' }
    },
    readStatus: async (): Promise<StatusResult> => effects.length > 0 ? { kind: 'ran', ...ORDER_ANSWER } : { kind: 'unknownKey' }
  }
}
