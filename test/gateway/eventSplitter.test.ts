import test from 'ava'
import { createEventSplitter, findEventEnd } from '../../src/gateway/_lib/createEventSplitter.js'

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\r\ndata: two\r\n\r\n', '\nid: 3\ndata: three\n\n', '\r\nweight-versions: 4\r\nid: 4\r\ndata: four\r\n\r\n']

test('a stream that is split at any byte gives the same events', t => {
  const stream = Buffer.from(EVENTS.join(''))
  for (let at = 0; at <= stream.length; at++) {
    const split = createEventSplitter()
    const events = [...split(Buffer.from(stream.subarray(0, at))), ...split(Buffer.from(stream.subarray(at)))]
    t.deepEqual(events.map(({ bytes }) => bytes.toString()), EVENTS, `${at}`)
    t.deepEqual(events.map(({ id, isWellFormed }) => [id, isWellFormed]), [[1, true], [2, true], [3, true], [4, true]], `${at}`)
    t.is(split.bufferedBytes(), 0)
  }
})

test('a stream in pieces of one byte gives the same events, whatever becomes of the pieces', t => {
  const split = createEventSplitter()
  const events = [...Buffer.from(EVENTS.join(''))].flatMap(byte => {
    const piece = Buffer.from([byte])
    const completed = split(piece)
    piece.fill(0)
    return completed
  })
  t.deepEqual(events.map(({ bytes }) => bytes.toString()), EVENTS)
})

// Guards against work that grows with the square of the chunks of an event, and stops the event loop (CONFIG, case 3 of the review).
test('an event without end in short pieces is searched once', t => {
  let searchedBytes = 0
  const split = createEventSplitter({
    findEnd (bytes, from) {
      searchedBytes += bytes.length - from
      return findEventEnd(bytes, from)
    }
  })
  const piece = Buffer.from('zzzz')
  for (let count = 0; count < 100_000; count++) split(piece)
  t.is(split.bufferedBytes(), 400_000)
  t.is(split.pieces(), 100_000)
  t.is(searchedBytes, 400_000)
})

test('many events in one piece are searched once each', t => {
  let searchedBytes = 0
  const split = createEventSplitter({
    findEnd (bytes, from) {
      const end = findEventEnd(bytes, from)
      searchedBytes += (end ?? bytes.length) - from
      return end
    }
  })
  const stream = Buffer.from(EVENTS[0]!.repeat(10_000))
  t.is(split(stream).length, 10_000)
  t.is(searchedBytes, stream.length)
})

test('an event with a line that is neither a field nor a comment is not well-formed', t => {
  const isWellFormed = (text: string): boolean | undefined => createEventSplitter()(Buffer.from(text))[0]?.isWellFormed
  t.deepEqual([': comment\nid: 1\n\n', 'data\nid: 1\n\n', 'id:1\ndata: a: b\n\n'].map(isWellFormed), [true, true, true])
  t.deepEqual(['HTTP/1.1 200 OK\r\nid: 1\r\n\r\n', 'some text\nid: 1\n\n', 'id: 1\ndata: x\n{"a":1}\n\n'].map(isWellFormed), [false, false, false])
})
