import test from 'ava'
import type { Framing } from '../types.js'
import { judgeAnswerEnd, type AnswerEnd } from './index.js'

const end = (fields: Partial<AnswerEnd>): AnswerEnd => ({ framing: 'connection', isComplete: true, hasFailed: false, hasContent: true, isEndConfirmed: true, check: undefined, ...fields })

const CHECKS = ['reached', 'relayed', 'unreachable', 'unknown', undefined] as const

const SELF_DELIMITING: Framing[] = ['none', 'length', 'chunks']

test('a length or a last chunk is proof, whatever happens to the connection', t => {
  for (const framing of SELF_DELIMITING) {
    t.is(judgeAnswerEnd(end({ framing, hasFailed: true })), 'whole')
    t.is(judgeAnswerEnd(end({ framing, isComplete: false })), 'truncated')
  }
})

test('the end of a connection that failed is not the end of an answer', t => {
  for (const check of CHECKS) t.is(judgeAnswerEnd(end({ hasFailed: true, check })), 'truncated')
})

test('an answer that lacks its content is not whole', t => {
  for (const framing of [...SELF_DELIMITING, 'connection'] as const) for (const check of CHECKS) t.is(judgeAnswerEnd(end({ framing, hasContent: false, check })), 'unknown')
})

test('the end of a connection is the end of an answer only if the target is still there', t => {
  t.deepEqual(CHECKS.map(check => judgeAnswerEnd(end({ check }))), ['whole', 'whole', 'unknown', 'unknown', 'unchecked'])
})

test('the end of a connection that a peer may have ended is not the end of an answer', t => {
  for (const check of CHECKS) t.is(judgeAnswerEnd(end({ isEndConfirmed: false, check })), 'unknown')
  for (const framing of SELF_DELIMITING) t.is(judgeAnswerEnd(end({ framing, isEndConfirmed: false })), 'whole')
})
