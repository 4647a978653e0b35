/**
 * Ties an exchange with a target to its call.
 */
import type { Call, GatewayContext } from '../types.js'
import type { Exchange } from './openExchange.js'

/** Milliseconds in a second. */
const MS_PER_S = 1_000

/** Closes an exchange when its call ends, and measures how soon after its caller has left; until disposed of. */
export function closeWithCall (call: Call, exchange: Exchange, { metrics, runtime }: GatewayContext): Disposable {
  const { signal } = call
  const close = (): void => {
    exchange.close('call ended')
    if (call.callerLeftAtMs === undefined) return
    const link = exchange.relay() === undefined ? 'direct' : 'relayed'
    metrics.callerCloseSeconds.observe({ link }, (runtime.monotonicMs() - call.callerLeftAtMs) / MS_PER_S)
  }
  signal.addEventListener('abort', close, { once: true })
  return { [Symbol.dispose]: () => signal.removeEventListener('abort', close) }
}
