import test from 'ava'
import { parseJsonc } from '../../src/settings/parseJsonc/index.js'
import { submitTicket } from '../../src/ticket/submitTicket/index.js'
import { ticketSchema } from '../../src/ticket/types.js'
import { createMemoryObjectStore } from '../../standin/objectApi/createMemoryObjectStore/index.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'
import { createTestLog } from '../fakes/createTestLog.js'

test('a ticket read from text and submitted twice has one outcome', async t => {
  const options = { store: createMemoryObjectStore(), runtime: createManualRuntime(), log: createTestLog(), operator: 'ana' }
  const parsed = parseJsonc('{ "number": 1, "scopes": { "timeouts": { "connectMs": 400 } } }', ticketSchema, { file: 'ticket' })
  if (parsed.kind === 'invalid') return t.fail()
  const first = await submitTicket(parsed.value, options)
  t.deepEqual(first, { kind: 'accepted', number: 1, revision: 1 })
  t.deepEqual(await submitTicket(parsed.value, options), first)
})
