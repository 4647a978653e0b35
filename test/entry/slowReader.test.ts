import { EventEmitter } from 'node:events'
import test from 'ava'
import { createEventStreamWriter } from '../../src/entry/_lib/answerWriter.js'
import { completionSchema } from '../../src/entry/parseCompletion/index.js'
import type { CallerCall, EntryContext } from '../../src/entry/types.js'
import type { OpenChain } from '../../src/pipeline/types.js'

const READER_BUFFER_BYTES = 1_000

/** A writer with a chain of one stage, on a response whose caller reads nothing until `drain` is emitted. */
function setUp () {
  const response = Object.assign(new EventEmitter(), {
    headersSent: false,
    writableLength: 0,
    writeHead () { this.headersSent = true },
    write (text: string) { this.writableLength += text.length }
  })
  const stage = { isPaused: false, pause () { this.isPaused = true }, resume () { this.isPaused = false } }
  const call = { response, request: 'r1' } as unknown as CallerCall
  const context = { daemon: { settings: { limits: { readerBufferBytes: READER_BUFFER_BYTES } } } } as EntryContext
  const writer = createEventStreamWriter(call, completionSchema.parse({ model: 'draft', prompt: 'a van', max_tokens: 100 }), context)
  const chain = { stages: [stage] } as unknown as OpenChain
  writer.onChain(chain)
  return { response, stage, writer, chain }
}

test('a stage is paused once the reader is behind by the limit, and resumed when it has caught up', t => {
  const { response, stage, writer } = setUp()
  for (let position = 0; !stage.isPaused && position < 100; position++) writer.onToken({ attempt: 1, position, token: 'matte ' })
  t.true(stage.isPaused)
  t.true(response.writableLength < 2 * READER_BUFFER_BYTES)
  response.writableLength = 0
  response.emit('drain')
  t.false(stage.isPaused)
})

test('the stage of a later attempt is paused while its reader is behind', t => {
  const { stage, writer, chain } = setUp()
  for (let position = 0; !stage.isPaused && position < 100; position++) writer.onToken({ attempt: 1, position, token: 'matte ' })
  stage.isPaused = false
  writer.onChain(chain)
  t.true(stage.isPaused)
})
