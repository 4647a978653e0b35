import test from 'ava'
import type { LoggedEvent } from '../types.js'
import { explainCall } from './index.js'

const event = (name: LoggedEvent['name'], wallMs: number, fields: Partial<LoggedEvent> = {}): LoggedEvent =>
  ({ number: 1, name, text: name, level: 'info', host: 'a', process: 'gateway', wallMs, counter: 0, ...fields })

test('a refusal is explained by its reason and its wait', t => {
  const events = [event('gatewayRefused', 1_500, { request: 'r1', reason: 'overloaded', waitedMs: 1_499, queueLength: 6, status: 503, attempts: [] })]
  t.like(explainCall(events, 'r1'), { outcome: 'refused', host: 'a', cause: 'refused without having run: no path had capacity within 1499 ms; 6 other calls waited' })
})

test('a failure is shown with related events about its targets, its host and the store, and no others', t => {
  const explanation = explainCall([
    event('targetSuspected', 900, { target: 'i-2', host: 'b', cause: 'connect failed after a pause' }),
    event('targetSuspected', 950, { target: 'i-9', host: 'b' }),
    event('targetLeaving', 960, { host: 'c', removedIds: ['i-1'] }),
    event('storeUnavailable', 970, { prefix: 'servers/', cause: 'status 503' }),
    event('storeUnavailable', 970, { host: 'c', prefix: 'servers/' }),
    event('streamResumed', 1_000, { request: 'r1', target: 'i-1', cause: 'aborted' }),
    event('gatewayFailed', 1_200, { request: 'r1', reason: 'targetFailed', cause: 'retry budget spent', attempts: ['i-1:0-40,i-2:40-80 aborted', 'i-3:0-80 status 503'] }),
    event('targetSuspected', 1_300, { target: 'i-2' })
  ], 'r1')
  t.is(explanation?.outcome, 'failed')
  t.is(explanation?.cause, 'ended without an answer after 2 attempts: retry budget spent')
  t.deepEqual(explanation?.events.map(({ name, host }) => `${name} ${host}`), ['targetSuspected b', 'targetLeaving c', 'storeUnavailable a', 'streamResumed a', 'gatewayFailed a'])
})

test('an answer that was cut is explained by its position and cause', t => {
  const failed = event('gatewayFailed', 1_200, { request: 'r1', reason: 'targetFailed', cause: 'attempts spent', isCut: true, attempts: ['i-1:0-80 aborted', 'i-2:0-80 aborted'] })
  const cut = event('answerCut', 1_201, { request: 'r1', reason: 'targetFailed', cause: 'attempts', tries: 2, lastEventId: 7 })
  t.like(explainCall([failed, cut], 'r1'), { outcome: 'failed', cause: 'ended without a complete answer after 2 attempts: attempts spent; the gateway closed its connection after event 7 of its answer (attempts)' })
  const left = event('callerGone', 1_200, { request: 'r2', attempts: [], tookMs: 90 })
  const unanswered = event('requestUnanswered', 1_199, { request: 'r2', cause: 'error', isBegun: false, error: 'HPE_INVALID_METHOD' })
  t.regex(explainCall([unanswered, left], 'r2')!.cause, /the gateway closed its connection before its answer began \(error\)$/)
})

test('a late answer is explained by a changed path or by busy engines', t => {
  const answered = event('gatewayAnswered', 4_000, { request: 'r1', firstEventMs: 40, waitedMs: 0, longestPauseMs: 483 })
  t.regex(explainCall([answered], 'r1')!.cause, /paused for 483 ms while its path stayed the same/)
  t.regex(explainCall([event('pathReplaced', 3_000, { request: 'r1', cause: 'engine down' }), answered], 'r1')!.cause, /after 1 changes of its path \(engine down\)/)
  t.regex(explainCall([{ ...answered, waitedMs: 900 }], 'r1')!.cause, /waited 900 ms/)
  t.regex(explainCall([{ ...answered, firstEventMs: 700 }], 'r1')!.cause, /first event took 700 ms/)
  t.is(explainCall([{ ...answered, longestPauseMs: 60 }], 'r1')!.cause, 'answered completely and in time')
})

test('a call whose host stopped is distinguished from one whose log lines are missing', t => {
  const resumed = event('streamResumed', 1_000, { request: 'r1', target: 'i-1', cause: 'aborted' })
  t.regex(explainCall([resumed], 'r1')!.cause, /missing/)
  t.regex(explainCall([resumed, event('processStarted', 2_500)], 'r1')!.cause, /started again 1500 ms after/)
  t.is(explainCall([resumed], 'r2'), undefined)
})

test('a refusal for a prompt that crashes engines names the part, the crashes and their age', t => {
  const events = [event('gatewayRefused', 1_500, { request: 'r1', reason: 'promptCrashesEngines', parts: ['bad'], crashes: 3, crashedRequests: 2, lastCrashAgeMs: 400, status: 503, attempts: [] })]
  t.regex(explainCall(events, 'r1')!.cause, /^refused without having run: part .*bad.* crashed 3 engines under 2 requests, the last 400 ms before$/)
})

test('a refusal names the queues of all hosts that it rested on', t => {
  const refused = (fields: object) => explainCall([event('gatewayRefused', 1_500, { request: 'r1', reason: 'overloaded', waitedMs: 0, queueLength: 3, status: 503, attempts: [], waitingAhead: 189, placesPerS: 110, retryAfterMs: 4_200, ...fields })], 'r1')!.cause
  t.regex(refused({ expectedWaitMs: 1_718, knownAgeMs: 140 }), /At all hosts 189 calls went before it and 110 places a second became free \(known 140 ms before\), so a wait of 1718 ms was expected; its caller was told to return after 4200 ms$/)
  t.regex(refused({ expectedWaitMs: null, knownAgeMs: null }), /from this host alone, which heard no other\), so no place was expected/)
})
