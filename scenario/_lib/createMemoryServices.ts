/**
 * Plain services in memory, which count what took effect.
 */
import type { ServiceClient, ServiceResult } from '../../src/service/types.js'

/** All services of a scenario, found by their address. */
export interface MemoryServices {
  client: ServiceClient
  /** The next calls take effect and their answers are lost. */
  loseAnswers: (address: string, count: number) => void
  refuseConnections: (address: string) => void
  /** How often a key was booked, over all services. */
  booked: (key: string) => number
}

/** Services that answer. */
export function createMemoryServices (): MemoryServices {
  const effects = new Map<string, number>()
  const losing = new Map<string, number>()
  const refusing = new Set<string>()

  function answer (status: number, body: unknown): ServiceResult {
    return { kind: 'answered', status, contentType: 'application/json', body: Buffer.from(JSON.stringify(body)) }
  }

  return {
    booked: key => effects.get(key) ?? 0,
    loseAnswers: (address, count) => { losing.set(address, count) },
    refuseConnections: address => { refusing.add(address) },
    client: {
      async send (address, call) {
        if (refusing.has(address)) return { kind: 'unreachable', cause: 'ECONNREFUSED' }
        const read = /^\/orders\/(.+)$/.exec(call.path)?.[1]
        if (call.method === 'GET' && read !== undefined) {
          const booked = effects.get(decodeURIComponent(read)) ?? 0
          return answer(booked === 0 ? 404 : 200, { booked })
        }
        const key = call.headers['idempotency-key'] ?? 'unkeyed'
        effects.set(key, (effects.get(key) ?? 0) + 1)
        const left = losing.get(address) ?? 0
        losing.set(address, Math.max(0, left - 1))
        return left > 0 ? { kind: 'lost', cause: 'reset' } : answer(201, { confirmation: effects.get(key) })
      },
      async [Symbol.asyncDispose] () {}
    }
  }
}
