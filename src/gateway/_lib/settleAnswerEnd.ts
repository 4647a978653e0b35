/**
 * Collects what is known of an answer that has ended, and has it judged. Where only the end of the
 * connection marks the end, a check of the target that begins afterwards shows whether its process goes on.
 */
import type { IncomingMessage } from 'node:http'
import type { LinkCheck } from '../../links/createTargetLinks/index.js'
import { judgeAnswerEnd, type AnswerEnd, type EndVerdict } from '../judgeAnswerEnd/index.js'
import type { Call, GatewayContext, TargetRun } from '../types.js'
import type { Exchange } from './openExchange.js'

/** An answer that has ended: its run, with framing and link, and the exchange that it came over. */
export interface EndedAnswer {
  answer: Pick<IncomingMessage, 'complete'>
  exchange: Pick<Exchange, 'hasFailed' | 'isClosedHere' | 'isEndConfirmed'>
  run: TargetRun
}

/** Judges an answer; called when the parser reports its end or gives it up. Any other body than a stream may be empty. */
export async function settleAnswerEnd ({ answer, exchange, run }: EndedAnswer, { signal }: Pick<Call, 'signal'>, { isStream }: { isStream: boolean }, { checkTarget }: Pick<GatewayContext, 'checkTarget'>): Promise<EndVerdict> {
  const end: AnswerEnd = {
    framing: run.answer?.framing ?? 'connection',
    isComplete: answer.complete,
    hasFailed: exchange.hasFailed() || exchange.isClosedHere(),
    hasContent: !isStream || (run.eventCount ?? 0) > 0,
    isEndConfirmed: exchange.isEndConfirmed(),
    check: undefined
  }
  const verdict = judgeAnswerEnd(end)
  if (verdict === 'unknown' && !end.isEndConfirmed) run.isLinkLost = true
  if (verdict !== 'unchecked') return verdict
  using callEnd = listenForEnd(signal)
  const check = await Promise.race([checkTarget(run.target), callEnd.check])
  if (run.answer !== undefined) run.answer.check = check
  if (check === 'unknown') run.isLinkLost = true
  const checked = judgeAnswerEnd({ ...end, check })
  return checked === 'unchecked' ? 'unknown' : checked
}

/** Resolves `check` when a call ends, which leaves the state of the target unknown. */
function listenForEnd (signal: AbortSignal): Disposable & { check: Promise<LinkCheck> } {
  let noteEnd = (): void => {}
  const check = new Promise<LinkCheck>(resolve => { noteEnd = () => resolve('unknown') })
  if (signal.aborted) noteEnd()
  signal.addEventListener('abort', noteEnd)
  return { check, [Symbol.dispose]: () => signal.removeEventListener('abort', noteEnd) }
}
