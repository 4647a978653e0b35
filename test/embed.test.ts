import test from 'ava'
import { answerLocally } from '../examples/embed/index.js'
import { createManualRuntime } from './fakes/createManualRuntime.js'

test('the embedding example answers through two stages in one process', async t => {
  const { text, result } = await answerLocally('a delivery van', { runtime: createManualRuntime() })
  t.is(text, 'red van with white stripes ')
  t.deepEqual(result, { kind: 'complete', tokens: 5, attempts: 1 })
})
