import test from 'ava'
import type { LoggedEvent } from '../types.js'
import { renderTimelineHtml } from './index.js'

const event = (host: string, wallMs: number, fields: object = {}): LoggedEvent => ({
  number: 3001, name: 'requestAdmitted', text: 'request admitted', level: 'info', host, process: 'entry', wallMs, counter: 0, ...fields
})

test('every process has one lane and every event one mark, in order', t => {
  const page = renderTimelineHtml([event('host-2', 10), event('host-1', 12), event('host-2', 15)], { title: 'request 7' })
  t.is(page.match(/<line /g)?.length, 2)
  t.deepEqual([...page.matchAll(/\+(\d+) ms/g)].map(match => match[1]), ['0', '2', '5'])
})

test('text of events cannot become markup', t => {
  const page = renderTimelineHtml([event('host-1', 0, { cause: '<script>alert("x")</script>' })], { title: '<b>' })
  t.false(page.includes('<script'))
  t.false(page.includes('<b>'))
})
