/**
 * Stand-in of an order service: `POST /orders` makes a booking, `GET /orders` returns the number of
 * bookings of each idempotency key.
 */
import { listen, type ListeningServer } from '../../../src/http/listen/index.js'
import { readJson, sendJson } from '../../_lib/json.js'

/** Faults that `POST /faults` turns on and off. */
export interface ServiceFaults {
  /** Delay of the answers to bookings, in milliseconds. */
  delayMs: number
  /** Number of next bookings that take effect but whose connection is closed without an answer. */
  loseAnswers: number
  /** Bookings are refused and have no effect. */
  refuse: boolean
  /** Bookings take effect but are answered only once this is turned off. */
  hold: boolean
}

/**
 * @name serveService
 * @summary Starts an HTTP server for an order service.
 * @param options - Address and port.
 * @returns The server, once it listens.
 *
 * @example
 * await using server = await serveService({ address: '127.0.0.1', port: 0 })
 */
export async function serveService (options: { address: string, port: number }): Promise<ListeningServer> {
  const faults: ServiceFaults = { delayMs: 0, loseAnswers: 0, refuse: false, hold: false }
  let heldAnswers: Array<() => void> = []
  const countsByKey = new Map<string, number>()
  let bookingCount = 0
  return await listen(async (request, response) => {
    const { pathname } = new URL(request.url ?? '/', 'http://service')
    if (pathname === '/faults') {
      Object.assign(faults, await readJson(request))
      if (!faults.hold) {
        for (const release of heldAnswers) release()
        heldAnswers = []
      }
      return sendJson(response, 200, faults)
    }
    if (request.method === 'GET' && pathname.startsWith('/orders/')) {
      const count = countsByKey.get(decodeURIComponent(pathname.slice('/orders/'.length))) ?? 0
      return sendJson(response, count === 0 ? 404 : 200, { booked: count })
    }
    if (request.method === 'GET') return sendJson(response, 200, { bookings: Object.fromEntries(countsByKey) })
    const order = await readJson(request)
    if (faults.refuse) return sendJson(response, 503, { refused: true })
    bookingCount += 1
    const key = String(request.headers['idempotency-key'] ?? `unkeyed-${bookingCount}`)
    countsByKey.set(key, (countsByKey.get(key) ?? 0) + 1)
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1
      response.destroy()
      return
    }
    if (faults.hold) await new Promise<void>(resolve => { heldAnswers.push(resolve) })
    if (faults.delayMs > 0) await new Promise(resolve => { setTimeout(resolve, faults.delayMs) })
    sendJson(response, 201, { confirmation: bookingCount, order })
  }, options)
}
