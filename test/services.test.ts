import test from 'ava'
import { sendToService, type ServiceSendOptions } from '../src/entry/_lib/sendToService.js'
import type { ServiceResult } from '../src/service/types.js'
import type { TargetCondition, TargetDirectory } from '../src/target/types.js'
import { serviceScopeSchema } from '../src/ticket/types.js'
import { ACCOUNT_HEADERS, startLocalEntry } from './fakes/startLocalEntry.js'
import { request } from 'undici'

const CALL = { method: 'POST', path: '/orders', headers: {}, body: Buffer.alloc(0) }
const answered = (status: number): ServiceResult => ({ kind: 'answered', status, contentType: 'text/plain', body: Buffer.alloc(0) })
const LOST: ServiceResult = { kind: 'lost', cause: 'reset' }
const UNREACHABLE: ServiceResult = { kind: 'unreachable', cause: 'refused' }

/** Calls `sendToService` with targets a, b and c that give these results in turn, and returns which targets were tried and suspected. */
async function send (results: ServiceResult[], options: ServiceSendOptions, conditions: Record<string, TargetCondition> = {}) {
  const tried: string[] = []
  const suspected: string[] = []
  const directory = {
    condition: (target: string) => conditions[target] ?? 'usable',
    address: (target: string) => target,
    markSuspected: (target: string) => suspected.push(target),
    markReachable () {}
  } as unknown as TargetDirectory
  const services = {
    send: async (address: string) => {
      tried.push(address)
      return results[tried.length - 1] ?? UNREACHABLE
    },
    async [Symbol.asyncDispose] () {}
  }
  const service = serviceScopeSchema.parse({ targets: ['a', 'b', 'c'], calls: [], notRunStatuses: [429] })
  const result = await sendToService(service, CALL, { daemon: { directory }, services }, options)
  return { result: result.kind, tried: tried.join(''), suspected: suspected.join('') }
}

test('a call that may not be repeated is sent to another target only if it certainly did not run', async t => {
  const once = { isRepeatable: false }
  t.deepEqual(await send([UNREACHABLE, LOST], once), { result: 'lost', tried: 'ab', suspected: 'ab' })
  t.deepEqual(await send([answered(429), answered(201)], once), { result: 'answered', tried: 'ab', suspected: '' })
  t.deepEqual(await send([answered(503)], once), { result: 'answered', tried: 'a', suspected: '' })
})

test('a repeatable call is sent to another target after a lost answer', async t => {
  t.deepEqual(await send([LOST, answered(200)], { isRepeatable: true }), { result: 'answered', tried: 'ab', suspected: 'a' })
})

test('suspected targets are tried last and leaving ones never', async t => {
  const conditions: Record<string, TargetCondition> = { a: 'suspected', b: 'leaving' }
  t.like(await send([], { isRepeatable: false }, conditions), { tried: 'ca' })
})

test('a cancelled call makes no target suspected, and a call that may not start is not sent', async t => {
  const controller = new AbortController()
  const cancelled = send([LOST], { isRepeatable: true, signal: controller.signal })
  controller.abort()
  t.like(await cancelled, { tried: 'a', suspected: '' })
  t.like(await send([], { isRepeatable: false, mayStart: () => false }), { result: 'unreachable', tried: '' })
})

test('a booking over HTTP is replayed, refused with another body, and settled by a status read', async t => {
  await using local = await startLocalEntry()
  const [first, second] = [await local.book('k'), await local.book('k')]
  t.deepEqual([first.statusCode, first.headers['x-verdict'], second.headers['idempotency-replayed']], [201, 'ran', 'true'])
  t.is(await first.body.text(), await second.body.text())
  const other = await request(`${local.base}/services/orders/orders`, { method: 'POST', headers: { ...ACCOUNT_HEADERS, 'idempotency-key': 'k' }, body: 'x' })
  t.like(await other.body.json(), { reason: 402, verdict: 'notRun' })
  await local.setFaults('orders-1', { loseAnswers: 1 })
  t.like(await (await local.book('lost')).body.json(), { reason: 401, verdict: 'mayHaveRun' })
  const settled = await local.book('lost')
  t.deepEqual([settled.statusCode, await settled.body.json()], [200, { booked: 1 }])
})
