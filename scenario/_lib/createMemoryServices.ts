/**
 * In-memory HTTP services that count the bookings they carry out.
 */
import type { ServiceClient, ServiceResult } from '../../src/service/types.js'

/** All services of a scenario, identified by address. */
export interface MemoryServices {
  client: ServiceClient
  /** Carries out the next `count` calls but loses their answers. */
  loseAnswers: (address: string, count: number) => void
  refuseConnections: (address: string) => void
  /** How many times a key was booked, over all services. */
  booked: (key: string) => number
}

/** Creates services that answer every call. */
export function createMemoryServices (): MemoryServices {
  const bookingCounts = new Map<string, number>()
  const answersToLose = new Map<string, number>()
  const refusingAddresses = new Set<string>()

  function answer (status: number, body: unknown): ServiceResult {
    return { kind: 'answered', status, contentType: 'application/json', body: Buffer.from(JSON.stringify(body)) }
  }

  return {
    booked: key => bookingCounts.get(key) ?? 0,
    loseAnswers: (address, count) => { answersToLose.set(address, count) },
    refuseConnections: address => { refusingAddresses.add(address) },
    client: {
      async send (address, call) {
        if (refusingAddresses.has(address)) return { kind: 'unreachable', cause: 'ECONNREFUSED' }
        const keyToRead = /^\/orders\/(.+)$/.exec(call.path)?.[1]
        if (call.method === 'GET' && keyToRead !== undefined) {
          const booked = bookingCounts.get(decodeURIComponent(keyToRead)) ?? 0
          return answer(booked === 0 ? 404 : 200, { booked })
        }
        const key = call.headers['idempotency-key'] ?? 'unkeyed'
        bookingCounts.set(key, (bookingCounts.get(key) ?? 0) + 1)
        const lossesLeft = answersToLose.get(address) ?? 0
        answersToLose.set(address, Math.max(0, lossesLeft - 1))
        return lossesLeft > 0 ? { kind: 'lost', cause: 'reset' } : answer(201, { confirmation: bookingCounts.get(key) })
      },
      async [Symbol.asyncDispose] () {}
    }
  }
}
