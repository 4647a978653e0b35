import test from 'ava'
import { buildEngine, TEST_MODEL } from '../../../test/fakes/buildFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import type { Path, Target } from '../../fleet/types.js'
import { choosePath, type EngineLoad } from '../../path/choosePath/index.js'
import { createMoveRecord } from '../createMoveRecord/index.js'
import { planMoves, type StrandedStream } from './index.js'

const HOSTS = 10
const CHECK_MS = 25
/** Time until a host knows of the moves of others, in milliseconds. */
const NEWS_MS = 100
const SIZE = { promptTokens: 770, outputTokens: 174 }
const TOKENS = 944
const first = buildEngine('first', 'north', 'large', { from: 0, to: 40 })
const group = (name: string): Target[] => [40, 50, 60, 70].map(from => buildEngine(`${name}-${from}`, 'north', 'small', { from, to: from + 10 }))
const lost = group('lost')
const others = [...group('near'), ...group('far')]
/** Cache of an engine of a group, in tokens times layers, of which most is in use; `near` has less. */
const CAPACITY = (21_600 - 10 * 1_750) / TEST_MODEL.tokenLayerMb
const usedAtFirst = ({ id }: Target): number => CAPACITY - TOKENS * 10 * (id.startsWith('near') ? 40 : 170)
const OLD_PATH: Path = [{ target: first, from: 0, to: 40 }, ...lost.map(target => ({ target, ...target.layers! }))]

test('the streams of a lost group are moved as fast as other engines can read them, and hardly any move is refused', async t => {
  const runtime = createManualRuntime()
  const used = new Map(others.map(target => [target.id, usedAtFirst(target)]))
  let news = new Map(used)
  const readings: Array<{ id: string, atMs: number }> = []
  let refused = 0
  const hosts = Array.from({ length: HOSTS }, () => ({
    record: createMoveRecord({ runtime, hostCount: () => HOSTS }),
    streams: new Map(Array.from({ length: 20 }, (_, index): [string, StrandedStream] => [`r${index}`, { id: `r${index}`, tokens: TOKENS, pausedMs: 0, refusals: 0, mayResume: true }])),
    /** What this host has moved since the last news. */
    own: new Map<string, number>()
  }))
  let resumed = 0
  for (let atMs = 0; atMs < 2_000; atMs += CHECK_MS) {
    if (atMs % NEWS_MS === 0) {
      news = new Map(used)
      for (const { own } of hosts) own.clear()
    }
    for (const { record, streams, own } of hosts) {
      const loadOf = (id: string): EngineLoad => ({ tokenLayers: (news.get(id) ?? 0) + (own.get(id) ?? 0), sequences: 10, firstSequences: 0 })
      const chosen = (): Path | undefined => choosePath(others, SIZE, { model: TEST_MODEL, loadOf, slownessOf: id => record.mayTake(id, loadOf(id).tokenLayers) ? 1 : Infinity, currentPath: OLD_PATH, maxCrossings: 3, cacheShare: 1 })?.path
      for (const stream of streams.values()) stream.pausedMs = atMs
      const moves = planMoves([...streams.values()], {
        choosePath () {
          const path = chosen()
          if (path !== undefined) record.noteMove(path, OLD_PATH, TOKENS, TEST_MODEL)
          for (const { target } of path?.slice(1) ?? []) own.set(target.id, (own.get(target.id) ?? 0) + TOKENS * 10)
          return path
        }
      })
      for (const move of moves) {
        if (move.kind === 'resume') resumed++
        const stages = move.kind === 'resume' ? [] : move.path.slice(1).map(stage => stage.target.id)
        const full = stages.find(id => used.get(id)! + TOKENS * 10 > CAPACITY)
        if (full === undefined) {
          for (const id of stages) used.set(id, used.get(id)! + TOKENS * 10)
          for (const id of stages) readings.push({ id, atMs })
          streams.delete(move.id)
        } else {
          refused++
          streams.get(move.id)!.refusals++
          record.noteRefused(full, news.get(full)!)
        }
      }
    }
    await runtime.advance(CHECK_MS)
  }
  const readMs = TOKENS / TEST_MODEL.prefillTokensPerMs * 8.2 * 10 / 80
  const mostAtOnce = Math.max(...readings.map(({ id, atMs }) => readings.filter(other => other.id === id && other.atMs >= atMs && other.atMs < atMs + NEWS_MS).length))
  const left = hosts.reduce((sum, { streams }) => sum + streams.size, 0)
  t.true(mostAtOnce * readMs <= 1.5 * NEWS_MS, `${mostAtOnce} streams of ${readMs} ms in ${NEWS_MS} ms`)
  t.true(refused <= 20, `${refused} moves refused`)
  t.true(left + resumed === 0, `${left} left, ${resumed} resumed`)
})

const stream = (id: string, change: Partial<StrandedStream> = {}): StrandedStream => ({ id, tokens: 500, pausedMs: 100, refusals: 0, mayResume: true, ...change })

test('streams with the fewest tokens are moved first', t => {
  let places = 2
  const choose = (): Path | undefined => places-- > 0 ? OLD_PATH : undefined
  const moves = planMoves([stream('long', { tokens: 900 }), stream('short', { tokens: 100 }), stream('middle')], { choosePath: choose })
  t.deepEqual(moves.map(({ id }) => id), ['short', 'middle'])
})

test('a stream is resumed elsewhere only after refused moves or a long pause, and if it may be', t => {
  const streams = [stream('fresh'), stream('refused', { refusals: 2 }), stream('late', { pausedMs: 1_000 }), stream('bound', { refusals: 2, pausedMs: 1_500, mayResume: false })]
  t.deepEqual(planMoves(streams, { choosePath: () => undefined }).map(({ kind, id }) => [kind, id]), [['resume', 'late'], ['resume', 'refused']])
})

test('paths are searched for in vain for a few streams only', t => {
  let searches = 0
  planMoves(Array.from({ length: 100 }, (_, index) => stream(`r${index}`)), { choosePath: () => { searches++; return undefined } })
  t.is(searches, 2)
})
