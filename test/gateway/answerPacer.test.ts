import test from 'ava'
import { createAnswerPacer } from '../../src/gateway/_lib/createAnswerPacer.js'

/** Turns of an event loop that the test runs one by one, and answers that record whether they are paused. */
function createLoop () {
  let deferred: Array<() => void> = []
  return {
    defer: (run: () => void) => { deferred.push(run) },
    runTurn () {
      const due = deferred
      deferred = []
      for (const run of due) run()
    }
  }
}

function createAnswer () {
  const answer = {
    isPaused: false,
    pause () { answer.isPaused = true; return answer as never },
    resume () { answer.isPaused = false; return answer as never }
  }
  return answer
}

// Guards against a turn of the event loop in which one answer has thousands of chunks handled (CONFIG, case 3 of the review).
test('of the answers with very many chunks one goes on in a turn', t => {
  const loop = createLoop()
  const pacer = createAnswerPacer({ defer: loop.defer, chunksPerTurn: 10 })
  const answers = Array.from({ length: 3 }, createAnswer)
  const paced = answers.map(answer => pacer.pace(answer))
  for (const { noteChunk } of paced) for (let count = 0; count < 9; count++) noteChunk()
  t.deepEqual(answers.map(({ isPaused }) => isPaused), [false, false, false])
  // Chunks that were already on their way still count.
  for (const { noteChunk } of paced) for (let count = 0; count < 1_000; count++) noteChunk()
  t.deepEqual(answers.map(({ isPaused }) => isPaused), [true, true, true])
  loop.runTurn()
  t.deepEqual(answers.map(({ isPaused }) => isPaused), [false, true, true])
  for (let count = 0; count < 10; count++) paced[0]!.noteChunk()
  loop.runTurn()
  t.deepEqual(answers.map(({ isPaused }) => isPaused), [true, false, true])
  loop.runTurn()
  loop.runTurn()
  t.deepEqual(answers.map(({ isPaused }) => isPaused), [false, false, false])
})

test('an answer whose chunks come one by one never waits', t => {
  const loop = createLoop()
  const pacer = createAnswerPacer({ defer: loop.defer, chunksPerTurn: 10 })
  const answer = createAnswer()
  const paced = pacer.pace(answer)
  for (let turn = 0; turn < 100; turn++) {
    for (let count = 0; count < 9; count++) paced.noteChunk()
    t.false(answer.isPaused)
    loop.runTurn()
  }
})

test('an answer whose caller is held up stays paused when its turn comes', t => {
  const loop = createLoop()
  const pacer = createAnswerPacer({ defer: loop.defer, chunksPerTurn: 1 })
  const answer = createAnswer()
  const paced = pacer.pace(answer)
  paced.noteChunk()
  paced.pause()
  loop.runTurn()
  t.true(answer.isPaused)
  paced.resume()
  t.false(answer.isPaused)
})
