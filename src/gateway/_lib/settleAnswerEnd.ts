/**
 * Collects what is known of an answer that has ended, and has it judged.
 */
import type { IncomingMessage } from 'node:http'
import { judgeAnswerEnd, type EndVerdict } from '../judgeAnswerEnd/index.js'
import type { TargetRun } from '../types.js'
import type { Exchange } from './openExchange.js'

/** An answer that has ended: its run, with framing and link, and the exchange that it came over. */
export interface EndedAnswer {
  answer: Pick<IncomingMessage, 'complete'>
  exchange: Pick<Exchange, 'hasFailed' | 'isClosedHere'>
  run: Pick<TargetRun, 'answer' | 'eventCount'>
}

/** Judges an answer; called when the parser reports its end or gives it up. Any other body than a stream may be empty. */
export async function settleAnswerEnd ({ answer, exchange, run }: EndedAnswer, { isStream }: { isStream: boolean }): Promise<EndVerdict> {
  return judgeAnswerEnd({
    framing: run.answer?.framing ?? 'connection',
    isComplete: answer.complete,
    hasFailed: exchange.hasFailed() || exchange.isClosedHere(),
    hasContent: !isStream || (run.eventCount ?? 0) > 0
  })
}
