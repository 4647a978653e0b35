/**
 * A part of a prompt crashes the engines that begin to write on it; once, an engine also crashes by itself. Sound
 * requests share the first part of the prompt with those that crash engines. The rule LOST (news): from 2 x stability_ms
 * after the fifth crash, or the last, while such requests still come, sound requests with the same first part must begin
 * at the first attempt at least half as often as outside unplanned disruption.
 */
import { fileURLToPath } from 'node:url'
import { attempt } from '../lib-2/client.mjs'
import { BOUNDS, makeFolder, sleep, startGateways } from '../lib-2/gateways.mjs'
import { modelConfiguration, startModelEngines, wholeStream } from '../lib-2/modelEngines.mjs'
import { openRecord } from '../lib-2/record.mjs'
import { startStore } from '../lib-2/store.mjs'

const isTrouble = process.env.TROUBLE !== '0'
/** Part of prompts that the caller's sound requests and those that crash engines share, and the part that crashes engines. */
const SHARED_PART = 'a1c0de'
const DEADLY_PART = 'dead01'
const DEADLINE_MS = 20_000
const BASELINE = 25
const JUDGED = 30
/** Pause of the caller between its two spells of work, in milliseconds. */
const PAUSE_MS = 62_000

const record = openRecord(fileURLToPath(new URL('record.txt', import.meta.url)))
const { folder, remove } = makeFolder()
const cleanups = [remove]
let sent = 0

async function main () {
  const store = await startStore()
  cleanups.push(() => store.close())
  const zones = ['cardiff-a', 'newport-b', 'swansea-c']
  const fleet = await startModelEngines({ store, service: 'design-assistant', count: 9, zones, kind: 'h100', record, deadlyPart: DEADLY_PART })
  cleanups.push(() => fleet.close())
  store.put('config', 'main', modelConfiguration('design-assistant'))
  const gateways = await startGateways({ count: 3, storeAddress: store.address, folder })
  for (const gateway of gateways) cleanups.push(() => gateway.stop())
  await sleep(4_500)

  /** Sends a request and resolves with whether it began at the first attempt, that is, whether an engine ran it. */
  async function send (kind, parts) {
    const number = ++sent
    const requestId = `${kind}${String(number).padStart(10, '0')}`
    const gateway = gateways[number % gateways.length]
    const own = number.toString(16).padStart(8, '0')
    const answer = await attempt({ ...gateway.frontend, method: 'POST', path: '/briefs/new', requestId, deadlineMs: DEADLINE_MS, headers: { Model: 'model', 'Token-Usage': '800,100', 'Prompt-Prefix': [...parts, own].map(part => `${part}:100`).join(',') }, body: 'draft' })
    const ran = fleet.runs.get(requestId) ?? []
    const isWhole = answer.isComplete && answer.body === wholeStream(requestId)
    record(`${requestId} [${[...parts, own].join(' ')}] at ${gateway.ip}: ${answer.status ?? 'no status'} (${answer.end}) after ${answer.tookMs} ms, ${isWhole ? 'whole' : 'not whole'}${answer.headers?.['retry-after'] === undefined ? '' : `, retry-after ${answer.headers['retry-after']}`}, run by ${ran.map(run => run.engineId).join(', ') || 'no engine'}`)
    return { hasBegun: ran.length > 0, isWhole, answer, requestId }
  }
  const sendSound = () => send('5017d', [SHARED_PART])
  const sendDeadly = () => send('dead', [SHARED_PART, DEADLY_PART])

  /** Sends sound requests of the caller, some at a time, and counts those that begin. */
  async function countBegun (count) {
    const results = []
    for (let index = 0; index < count; index++) {
      results.push(sendSound())
      await sleep(350)
    }
    const ended = await Promise.all(results)
    return { begun: ended.filter(({ hasBegun }) => hasBegun).length, whole: ended.filter(({ isWhole }) => isWhole).length }
  }

  record('outside unplanned disruption')
  const usual = await countBegun(BASELINE)
  record(`usual: ${usual.begun} of ${BASELINE} sound requests began, ${usual.whole} were answered whole`)
  if (usual.begun < 20) throw new Error('too few requests began without any disruption')
  // Other callers go on meanwhile, with other prompts.
  const others = setInterval(() => { send('07e5', ['0b0b']) }, 1_500)
  cleanups.push(() => clearInterval(others))
  record(`the caller pauses for ${PAUSE_MS} ms`)
  await sleep(PAUSE_MS)

  if (isTrouble) {
    await sendDeadly()
    // All engines are back by then.
    await sleep(5_500)
    const sound = sendSound()
    const requestId = `5017d${String(sent).padStart(10, '0')}`
    for (let waitedMs = 0; !fleet.runs.has(requestId) && waitedMs < 1_000; waitedMs += 5) await sleep(5)
    await sleep(40)
    const run = fleet.runs.get(requestId)?.[0]
    if (run === undefined) record('the sound request was not run; no engine crashes by itself')
    else fleet.crash(run.engine, 'by itself')
    await sound
    await sleep(2 * BOUNDS.stability_ms)
  }
  if (isTrouble) sendDeadly()
  const deadly = isTrouble ? setInterval(sendDeadly, 1_000) : undefined
  cleanups.push(() => clearInterval(deadly))
  record(isTrouble ? 'requests with the part that crashes engines still come' : 'no disruption')
  const later = await countBegun(JUDGED)
  clearInterval(deadly)
  clearInterval(others)
  await sleep(2_000)
  record(`${fleet.deadlyCrashesMs.length} crashes by the part; since then ${later.begun} of ${JUDGED} sound requests began, ${later.whole} were answered whole; usual ${usual.begun} of ${BASELINE}`)
  if (!isTrouble && later.begun / JUDGED < 0.9) throw new Error('sound requests did not begin although nothing was disturbed')
  const isBroken = later.begun / JUDGED < usual.begun / BASELINE / 2
  record(isBroken ? 'LOST is broken' : 'LOST holds')
  return isBroken ? 1 : 0
}

let code = 2
try {
  code = await main()
} catch (error) {
  record(`the case could not run: ${error.stack}`)
}
for (const cleanup of cleanups.reverse()) await cleanup()
process.exit(code)
