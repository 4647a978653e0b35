/**
 * A service that keeps a ledger of what took effect, with the fate of each send chosen by a test.
 */
import type { StatusResult } from '../../src/booking/types.js'
import type { ServiceResult } from '../../src/service/types.js'

/** What becomes of one send. */
export type SendOutcome = 'answered' | 'unreachable' | 'lostAfterEffect' | 'lostBeforeEffect' | 'killedAfterEffect' | 'killedBeforeEffect'

/** Answer of every send that takes effect. */
export const ORDER_ANSWER = { status: 201, contentType: 'application/json', body: Buffer.from('{"confirmation":1}') }

/** An empty ledger. */
export function createOrderLedger () {
  const effects: string[] = []
  return {
    effects,
    async send (by: string, fate: SendOutcome = 'answered'): Promise<ServiceResult> {
      if (fate === 'unreachable') return { kind: 'unreachable', cause: 'refused' }
      if (!fate.endsWith('BeforeEffect')) effects.push(by)
      if (fate.startsWith('killed')) return await new Promise(() => {})
      return fate === 'answered' ? { kind: 'answered', ...ORDER_ANSWER } : { kind: 'lost', cause: 'reset' }
    },
    readStatus: async (): Promise<StatusResult> => effects.length > 0 ? { kind: 'ran', ...ORDER_ANSWER } : { kind: 'unknownKey' }
  }
}
