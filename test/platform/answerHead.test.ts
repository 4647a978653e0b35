import test from 'ava'
import { platformHeaders } from '../../platform/headers.js'

test('the head of an answer is read as it passes through', t => {
  const answer = platformHeaders.readAnswerHead('HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRETRY-AFTER:  0.5 \r\nRequest-Id: r1')
  t.like(answer, { status: 503, metadata: { retryAfterMs: 500, requestId: 'r1', isNotRun: true } })
})

test('a head that is no answer says nothing', t => {
  for (const head of ['', 'HTTP/1.1', 'HTTP/2 503 x', 'GET / HTTP/1.1', 'HTTP/1.1 abc x', ': 503']) t.is(platformHeaders.readAnswerHead(head), undefined, head)
})

test('lines without a field are left out', t => {
  t.like(platformHeaders.readAnswerHead('HTTP/1.1 503\r\n: 3\r\nnothing\r\nRetry-After: 2'), { status: 503, metadata: { retryAfterMs: 2_000 } })
})
