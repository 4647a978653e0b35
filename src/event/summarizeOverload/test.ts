import test from 'ava'
import type { EventName } from '../catalogue.js'
import { EVENTS } from '../catalogue.js'
import { renderOverload } from '../renderOverload/index.js'
import type { LoggedEvent } from '../types.js'
import { summarizeOverload } from './index.js'

let counter = 0
const event = (name: EventName, wallMs: number, fields: Record<string, unknown> = {}): LoggedEvent =>
  ({ ...EVENTS[name], name, host: 'a', process: 'gateway', wallMs, counter: counter++, request: `r${counter}`, ...fields })
const limits = { objectiveMs: 400, gapObjectiveMs: 250 }
const LOAD = [
  event('processStarted', 0, { failureDomain: 'north', request: undefined }),
  event('gatewayAnswered', 1_000, { route: 'x', status: 200, tookMs: 1_000, firstEventMs: 300, longestPauseMs: 100, account: 'one', promptTokens: 10, attempts: ['e1:0-4,e2:4-8 complete'] }),
  event('gatewayAnswered', 1_100, { route: 'x', status: 200, tookMs: 900, firstEventMs: 500, longestPauseMs: 100, account: 'one', promptTokens: 20, attempts: ['e1:0-8 complete'] }),
  event('gatewayAnswered', 1_200, { route: 'x', status: 200, tookMs: 900, firstEventMs: 300, longestPauseMs: 300, account: 'two' }),
  event('gatewayRefused', 1_300, { route: 'x', reason: 'overloaded', tookMs: 50, queueLength: 3 }),
  event('gatewayRefused', 1_400, { route: 'x', reason: 'overloaded', tookMs: 1_200, queueLength: 5, host: 'b' }),
  event('gatewayRefused', 1_450, { reason: 'unknownPath', tookMs: 1 }),
  event('gatewayFailed', 1_500, { route: 'x', reason: 'targetFailed', isCut: true, tookMs: 900, request: 'cut' }),
  event('answerCut', 1_500, { route: 'x', tookMs: 900, request: 'cut' }),
  event('gatewayFailed', 1_600, { route: 'y', reason: 'deadlinePassed', tookMs: 900 }),
  event('callerGone', 1_700, { route: 'y', tookMs: 900 }),
  event('callerGone', 1_800, { route: 'y', tookMs: 900, lastEventId: 3 })
]

test('each call counts once, by how it ended for its caller', t => {
  const { total } = summarizeOverload([...LOAD, ...LOAD], () => limits)
  t.like(total, { offered: 10, inTime: 1, late: 2, answered: 0, refusedOnArrival: 1, refusedAfterWaiting: 1, notAllowed: 1, brokenOff: 1, failed: 1, left: 1, leftMidway: 1, heldP50Ms: 1_200, heldP95Ms: 1_200 })
})

test('groups add up to the total', t => {
  const { total, byRoute, byAccount, byFailureDomain, byPromptSize } = summarizeOverload(LOAD, () => limits)
  for (const rows of [byRoute, byAccount, byFailureDomain]) t.is(rows.reduce((sum, { offered }) => sum + offered, 0), total.offered)
  t.deepEqual(byFailureDomain.map(({ key, offered }) => [key, offered]), [['north', 9], ['unknown', 1]])
  t.deepEqual(byPromptSize.map(({ key }) => key), ['10 to 10 tokens', '20 to 20 tokens'])
})

test('seconds hold arrivals, ends and the longest queue of each host', t => {
  const { seconds } = summarizeOverload(LOAD, () => limits)
  t.is(seconds.reduce((sum, { demand }) => sum + demand, 0), 9)
  t.deepEqual(seconds[1], { second: 1, demand: 1, answered: 3, refused: 2, left: 2, queue: 8, targets: 2 })
})

test('limits on a line come before those given', t => {
  const { total } = summarizeOverload([event('gatewayAnswered', 1_000, { route: 'x', status: 200, tookMs: 700, objectiveMs: 800 })], () => limits)
  t.is(total.inTime, 1)
})

test('what the log lacks is listed', t => {
  const dropped = event('eventsDropped', 2_000, { dropped: { gatewayRefused: 7 }, request: undefined })
  const { lacking, total } = summarizeOverload([...LOAD, dropped, event('streamResumed', 1_100)], () => ({}))
  t.is(total.answered, 3)
  t.deepEqual(lacking.map(text => text.split(':')[0]), ['objective or longest pause', 'client account', 'size of prompt', 'failure domain, which the line processStarted tells', 'the end of 1 calls, whose hosts stopped or whose lines are missing', '7 lines gatewayRefused, dropped above their rate limit'])
})

test('lines of a wrong clock give no plot', t => {
  const { seconds, lacking } = summarizeOverload([...LOAD, event('callerGone', 1e12, { route: 'y', tookMs: 1 })], () => limits)
  t.deepEqual(seconds, [])
  t.regex(lacking[0]!, /a clock was wrong/)
})

test('text has a table for each grouping and a line for each second', t => {
  const text = renderOverload(summarizeOverload(LOAD, () => limits))
  for (const title of ['route', 'client account', 'failure domain', 'size of prompt', 'second']) t.regex(text, new RegExp(`^(\\| )?${title} `, 'm'))
  t.regex(text, /^ {5}1 {7}1 {9}3 {8}2 {5}2 {6}8 {8}2 {2}/m)
  t.notThrows(() => renderOverload(summarizeOverload([], () => ({}))))
})
