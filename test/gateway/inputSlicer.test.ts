import { Duplex } from 'node:stream'
import test from 'ava'
import { createInputSlicer } from '../../src/gateway/_lib/createInputSlicer.js'

/** Turns of an event loop that the test runs one by one, and a clock that its work moves on. */
function createLoop () {
  let deferred: Array<() => void> = []
  let nowMs = 0
  return {
    spend (ms: number) { nowMs += ms },
    monotonicMs: () => nowMs,
    defer: (run: () => void) => { deferred.push(run) },
    isIdle: () => deferred.length === 0,
    runTurn () {
      const due = deferred
      deferred = []
      for (const run of due) run()
    }
  }
}

/** A connection whose reader takes 1 ms for each piece, and which counts what it is asked to read. */
function createConnection (loop: ReturnType<typeof createLoop>) {
  const pieces: string[] = []
  let reads = 0
  let hasEnded = false
  const connection = new Duplex({ read () { reads++ }, write (_chunk, _encoding, done) { done() } })
  connection.on('data', (bytes: Buffer) => {
    loop.spend(1)
    pieces.push(bytes.toString())
  })
  connection.on('end', () => { hasEnded = true })
  return { connection, pieces, reads: () => reads, hasEnded: () => hasEnded }
}

const nextTurn = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })

// Guards against a turn of the event loop that parses all short chunks of one read (CONFIG, case 3 of the review).
test('connections with much input share a turn, and each gets a slice of it', async t => {
  const loop = createLoop()
  const slicer = createInputSlicer({ ...loop, sliceBytes: 2, turnMs: 3 })
  const [first, second] = [createConnection(loop), createConnection(loop)]
  for (const { connection } of [first, second]) slicer.slice(connection)
  await nextTurn()
  first.connection.push(Buffer.from('abcdefghijkl'))
  second.connection.push(Buffer.from('mnopqr'))
  t.deepEqual([first.pieces, second.pieces], [['ab', 'cd', 'ef'], ['mn']])
  loop.runTurn()
  t.deepEqual([first.pieces, second.pieces], [['ab', 'cd', 'ef', 'gh', 'ij', 'kl'], ['mn', 'op']])
  loop.runTurn()
  t.is(second.pieces.join(''), 'mnopqr')
})

test('a connection is not read while slices of it wait, and its input and end keep their order', async t => {
  const loop = createLoop()
  const { connection, pieces, reads, hasEnded } = createConnection(loop)
  createInputSlicer({ ...loop, sliceBytes: 2, turnMs: 1 }).slice(connection)
  await nextTurn()
  const readsBefore = reads()
  t.false(connection.push(Buffer.from('abcdef')))
  t.false(connection.push(Buffer.from('g')))
  t.false(connection.push(null))
  await nextTurn()
  t.is(reads(), readsBefore)
  t.false(hasEnded())
  while (!loop.isIdle()) {
    loop.runTurn()
    await nextTurn()
  }
  t.is(pieces.join(''), 'abcdefg')
  t.true(hasEnded())
})

test('short input passes at once, and more is asked for after input that waited', async t => {
  const loop = createLoop()
  const { connection, pieces, reads } = createConnection(loop)
  createInputSlicer({ ...loop, sliceBytes: 2, turnMs: 1 }).slice(connection)
  await nextTurn()
  for (let count = 0; count < 10; count++) connection.push(Buffer.from('a'))
  t.is(pieces.length, 10)
  t.true(loop.isIdle())
  connection.push(Buffer.from('abcd'))
  const readsBefore = reads()
  loop.runTurn()
  await nextTurn()
  t.is(pieces.at(-1), 'cd')
  t.true(reads() > readsBefore)
})
