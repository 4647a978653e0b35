import { execFileSync } from 'node:child_process'
import test from 'ava'
import type { SoakHost } from './_lib/startHosts.js'
import { checkRecords, checkRecovery, type Evidence } from './_lib/checkRecords.js'
import { countEvents, type LedgerEntry } from './_lib/createTargetHandler.js'
import type { CallRecord } from './_lib/startCallers.js'
import { runSoak } from './runSoak/index.js'

const HOST = { name: 'host-0', wasCurrentBuild: () => true } as unknown as SoakHost

const record = (change: Partial<CallRecord>): CallRecord => ({
  requestId: 'r1', kind: 'unsafe', host: HOST, startCount: 1, plannedWork: { stoppedMs: undefined, reloadsMs: [] }, isSound: true, key: 'steady', sentMs: 0, lastByteMs: 1, endedMs: 100, lastDataMs: 99, deadlineMs: 4_000, leftMs: undefined, errorCode: undefined, status: 200, retryAfter: undefined, answerId: change.requestId ?? 'r1', isSigned: true, body: 'answer to r1', isComplete: true, ...change
})
const run = (change: Partial<LedgerEntry> = {}): LedgerEntry => ({ requestId: 'r1', targetId: 'orders-1', service: 'orders', promptParts: [], atMs: 50, hasRun: true, outcome: 'answered', endedMs: 80, pauseMs: 0, saidLeaving: false, leavingForMs: 0, isMixed: false, ...change })
const events = (ids: number[]): string => ids.map(id => `id: ${id}\ndata: piece ${id}\n\n`).join('')
const wholeStream = Array.from({ length: countEvents('r1') }, (_, index) => index + 1)

function check (call: CallRecord, ledger: LedgerEntry[], change: Partial<Evidence> = {}, isUndisturbed = true): string[] {
  return checkRecords({ records: [call], ledger, crashesMs: new Map(), keys: new Map(), configurationsMs: [], storeRecoveredMs: 0, budgetWindows: 1, ...change }, () => isUndisturbed)
}

test('a call that is answered once, completely and in time is no finding', t => {
  t.deepEqual(check(record({}), [run()]), [])
  t.deepEqual(check(record({ kind: 'stream', body: events(wholeStream) }), [run(), run()]), [])
  t.deepEqual(check(record({ status: 503, retryAfter: '1', body: '' }), [run({ hasRun: false })]), [])
})

test('each violated guarantee is a finding', t => {
  const findings: Array<[CallRecord, LedgerEntry[], Partial<Evidence>, RegExp]> = [
    [record({ status: 0, isComplete: false }), [run()], {}, /no answer/],
    [record({ isComplete: false }), [run()], {}, /cut off/],
    [record({ endedMs: 5_500 }), [run()], {}, /took 5500 ms/],
    [record({}), [run(), run({ targetId: 'orders-2' })], {}, /ran 2 times/],
    [record({ status: 503, retryAfter: '1' }), [run()], {}, /reported as not run/],
    [record({ status: 503 }), [], {}, /no Retry-After/],
    [record({}), [], {}, /status 200 without a run/],
    [record({ body: 'answer to r2' }), [run()], {}, /unexpected body/],
    [record({ kind: 'stream', body: events(wholeStream.slice(1)) }), [run()], {}, /not with all events once and in order/],
    [record({ kind: 'stream', body: events([1, 3]), isComplete: false }), [run()], {}, /a gap, a duplicate/],
    [record({ kind: 'stream', body: events([1, 2]) }), [run()], {}, /2 of \d+ events/],
    [record({ kind: 'stream', body: `${events(wholeStream)}HTTP/1.1 200 OK` }), [run()], {}, /then "HTTP/],
    [record({ answerId: 'r2' }), [run()], {}, /answer of r2/],
    [record({ isSigned: false }), [run()], {}, /without request id or signature/],
    [record({ key: 'k', sentMs: 9_000, endedMs: 9_100 }), [run()], { keys: new Map([['k', { addedMs: 0, revokedMs: 3_000 }]]) }, /accepted with a revoked key/],
    [record({ key: 'k', sentMs: 9_000, endedMs: 9_100, status: 401 }), [], { keys: new Map([['k', { addedMs: 0, revokedMs: Infinity }]]) }, /refused with a valid key/]
  ]
  for (const [call, ledger, change, expected] of findings) t.regex(check(call, ledger, change).join('\n'), expected)
})

test('after the faults a stream that is not whole is a finding, unless events came until its deadline', t => {
  const stream: Partial<CallRecord> = { kind: 'stream', body: events([1, 2]), isComplete: false, sentMs: 10 }
  t.is(checkRecovery([record({ kind: 'stream', body: events(wholeStream), sentMs: 10 })], 0).length, 0)
  t.is(checkRecovery([record(stream)], 0).length, 1)
  t.is(checkRecovery([record({ ...stream, endedMs: 4_020, lastDataMs: 4_000 })], 0).length, 0)
  t.is(checkRecovery([record({ ...stream, endedMs: 4_020, lastDataMs: 2_000 })], 0).length, 1)
  t.is(checkRecovery([record({ ...stream, endedMs: 4_020, lastDataMs: 4_000, body: events([1, 3]) })], 0).length, 1)
  t.is(checkRecovery([record({ ...stream, endedMs: 3_900, lastDataMs: 3_899 })], 0).length, 1)
})

test('requests that crash engines may reach them until the part is known, and three times more', t => {
  const crashesMs = new Map([['c0', [1, 2, 3, 4, 5].map(count => count * 100)]])
  const records = Array.from({ length: 9 }, (_, index) => record({ requestId: `r${index}`, kind: 'stream', status: 502, body: '' }))
  const ledger = (count: number, atMs: number) => records.slice(0, count).map(({ requestId }) => run({ requestId, service: 'model', promptParts: ['a0', 'c0', 'e1'], atMs, outcome: 'brokenOff' }))
  const checkCrashes = (entries: LedgerEntry[]): string[] => checkRecords({ records, ledger: entries, crashesMs, keys: new Map(), configurationsMs: [], storeRecoveredMs: 0, budgetWindows: 1 }, () => true)
  t.deepEqual(checkCrashes(ledger(9, 3_400)), [])
  t.deepEqual(checkCrashes(ledger(3, 3_600)), [])
  t.regex(checkCrashes(ledger(4, 3_600)).join('\n'), /4 requests with part c0/)
})

test('more retries than the budget allows are a finding', t => {
  const ledger = Array.from({ length: 130 }, () => run({ service: 'model' }))
  t.regex(check(record({ kind: 'safe' }), ledger).join('\n'), /129 retries/)
})

test('requests in a pause, or to a target that has said that it leaves, are findings', t => {
  const records = Array.from({ length: 5 }, (_, index) => record({ requestId: `r${index}`, status: 503, retryAfter: '1', body: '', sentMs: index * 1_000 }))
  const refused = (index: number, change: Partial<LedgerEntry>): LedgerEntry => run({ requestId: `r${index}`, hasRun: false, outcome: 'shed', atMs: index * 1_000, endedMs: index * 1_000 + 1, ...change })
  const checkAll = (entries: LedgerEntry[], isUndisturbed = true): string => checkRecords({ records, ledger: entries, crashesMs: new Map(), keys: new Map(), configurationsMs: [], storeRecoveredMs: 0, budgetWindows: 1 }, () => isUndisturbed).join('\n')
  const pause = refused(0, { pauseMs: 3_500 })
  t.regex(checkAll([pause, refused(1, {}), refused(2, {}), refused(3, {})]), /3 requests of host-0 to orders-1 within a pause/)
  t.is(checkAll([pause, refused(1, {}), refused(2, {}), refused(4, {})]), '')
  t.is(checkAll([pause, refused(1, {}), refused(2, {}), refused(3, {})], false), '')
  t.regex(checkAll([refused(0, { saidLeaving: true }), refused(3, {})]), /1 requests of host-0 to orders-1 after it had said/)
  t.is(checkAll([refused(0, { saidLeaving: true }), refused(1, {}), refused(2, {})]), '')
  t.regex(checkAll([refused(0, { leavingForMs: 2_100 })]), /after the store knew/)
  t.is(checkAll([refused(0, { leavingForMs: 1_900 })]), '')
})

test('requests sent on, or worked on, after their callers have left are findings', t => {
  const left = Array.from({ length: 4 }, (_, index) => record({ requestId: `long${index}`, kind: 'stream', status: 0, body: '', isComplete: false, leftMs: 100 }))
  const checkLeft = (change: Partial<LedgerEntry>, isUndisturbed = true): string => {
    const ledger = left.map(({ requestId }) => run({ requestId, service: 'model', ...change }))
    return checkRecords({ records: left, ledger, crashesMs: new Map(), keys: new Map(), configurationsMs: [], storeRecoveredMs: 0, budgetWindows: 1 }, () => isUndisturbed).join('\n')
  }
  t.is(checkLeft({ atMs: 50, endedMs: 110 }), '')
  t.regex(checkLeft({ atMs: 650, endedMs: 660 }, false), /4 of 4 requests reached targets later/)
  t.regex(checkLeft({ atMs: 50, endedMs: 650 }), /still at work on 4 of 4 streams/)
  t.is(checkLeft({ atMs: 50, endedMs: 650 }, false), '')
})

test('a missing answer of a killed host is no finding', t => {
  t.deepEqual(check(record({ status: 0, isComplete: false }), [run()], {}, false), [])
})

test('an answer that is cut or missing around planned work is a finding', t => {
  const stopped = { plannedWork: { stoppedMs: 0, reloadsMs: [] } }
  const missing: Partial<CallRecord> = { status: 0, isComplete: false, body: '' }
  const cut: Partial<CallRecord> = { kind: 'stream', isComplete: false, body: events([1, 2]) }
  const closed = run({ outcome: 'closed' })
  const shed = run({ hasRun: false, outcome: 'shed' })
  const changed = { configurationsMs: [0] }
  const all: Partial<CallRecord> = { ...cut, body: events(wholeStream) }
  const losses: Array<[Partial<CallRecord>, LedgerEntry[], Partial<Evidence>]> = [
    [{ ...all, ...stopped }, [run(), run({ outcome: 'closed' })], {}],
    [{ ...cut, ...stopped }, [run({ isMixed: true }), run({ outcome: 'closed' })], {}],
    [{ ...cut, ...stopped }, [run({ outcome: 'brokenOff' }), run()], {}],
    [{ ...all, ...stopped }, [run()], {}],
    [{ ...missing, ...stopped }, [closed], {}],
    [{ ...missing, ...stopped, endedMs: 300 }, [], {}],
    [{ ...cut, ...stopped }, [closed], {}],
    [{ ...cut, plannedWork: { stoppedMs: undefined, reloadsMs: [0] } }, [run()], {}],
    [cut, [run({ outcome: 'brokenOff' }), shed], changed],
    [{ ...cut, ...stopped, sentMs: 3_500, endedMs: 7_400 }, [run({ outcome: 'closed', endedMs: 7_400 })], {}]
  ]
  for (const [change, ledger, evidence] of losses) t.regex(check(record(change), ledger, evidence, false).join('\n'), /lost/)
  const exceptions: typeof losses = [
    [{ ...cut, ...stopped }, [run({ outcome: 'brokenOff' })], {}],
    [{ ...cut, ...stopped }, [run({ outcome: 'closed', isMixed: true })], {}],
    [{ ...all, ...stopped }, [run({ isMixed: true }), run()], {}],
    [{ ...all, ...stopped }, [run({ outcome: 'brokenOff' }), run()], {}],
    [cut, [shed, run({ outcome: 'brokenOff' })], changed],
    [{ ...cut, ...stopped, endedMs: 4_000 }, [closed], {}],
    [{ ...cut, ...stopped, sentMs: 2_900, endedMs: 6_800 }, [run({ outcome: 'closed', endedMs: 6_800 })], {}],
    [{ ...missing, ...stopped }, [], {}],
    [{ ...missing, ...stopped, lastByteMs: undefined, endedMs: 300 }, [], {}],
    [{ ...cut, ...stopped, isSound: false }, [closed], {}],
    [cut, [closed], {}],
    [{ ...cut, sentMs: 9_000, endedMs: 9_100 }, [closed], changed],
    [{ kind: 'stream', body: events(wholeStream), ...stopped }, [run()], {}]
  ]
  for (const [change, ledger, evidence] of exceptions) t.deepEqual(check(record(change), ledger, evidence, false), [])
})

test.before(() => { execFileSync('npm', ['run', '--silent', 'gateway']) })

test.serial('a short run with killed targets, second answers and lost links has no findings', async t => {
  const kinds = ['targetKilled', 'targetsStutter', 'targetBreaksOff', 'targetSilent', 'hostCutFromTargets']
  const { findings } = await runSoak({ seed: 502, durationMs: 8_000, hostCount: 3, kinds, folder: 'target/soak' })
  t.deepEqual(findings, [])
})

test.serial('a short run with real processes has no findings', async t => {
  const { findings, calls } = await runSoak({ seed: 20261204, durationMs: 5_000, hostCount: 3, folder: 'target/soak' })
  t.deepEqual(findings, [])
  t.true(calls > 0)
})
