/**
 * Describes how the answer of a run came and how its end is known, so that logs alone can tell why an
 * answer was taken for complete.
 */
import type { IncomingMessage } from 'node:http'
import type { EndVerdict } from '../judgeAnswerEnd/index.js'
import type { Framing, TargetRun } from '../types.js'

/** What tells where the body of an answer ends. */
export function findFraming ({ statusCode, headers }: Pick<IncomingMessage, 'statusCode' | 'headers'>, method: string): Framing {
  if (method === 'HEAD' || statusCode === 204 || statusCode === 304) return 'none'
  const codings = headers['transfer-encoding']
  // Only chunks mark an end; a body in another last coding ends with its connection.
  if (codings !== undefined) return /(?:^|,)\s*chunked\s*$/i.test(codings) ? 'chunks' : 'connection'
  return headers['content-length'] === undefined ? 'connection' : 'length'
}

/** Fields of a run for a log line; `events` counts what this run alone brought. */
export function describeRun ({ eventCount, answer }: Pick<TargetRun, 'eventCount' | 'answer'>): Record<string, unknown> {
  return {
    ...(eventCount === undefined ? {} : { events: eventCount }),
    ...(answer === undefined ? {} : { framing: answer.framing, ...(answer.relay === undefined ? { link: 'direct' } : { link: 'relayed', relay: answer.relay }), ...(answer.check === undefined ? {} : { targetCheck: answer.check }) })
  }
}

/** Why a run counts as broken off whose answer was not found whole. */
export function describeBrokenEnd ({ answer }: Pick<TargetRun, 'answer'>, verdict: EndVerdict, truncated: string): string {
  if (verdict !== 'unknown') return truncated
  return answer?.check === undefined ? 'end of answer not known' : `end of answer not known, target ${answer.check}`
}
