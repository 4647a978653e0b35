/**
 * Relays an engine's stream to the caller, event by event, as long as the ids are consecutive.
 */
import type { IncomingMessage } from 'node:http'
import { withConnectionClose, type BufferedAnswer } from './answerCaller.js'
import { noteProgress } from './crashingRequests.js'
import { describeBrokenEnd } from './describeRun.js'
import { containsAnswerHead } from './containsAnswerHead.js'
import { judgeAnswer } from './judgeAnswer.js'
import { noteStatements } from './noteStatements.js'
import { learnOutput } from './estimateRequestSize.js'
import { createEventSplitter } from './createEventSplitter.js'
import { readAnswerBody } from './readAnswerBody.js'
import { settleAnswerEnd, type EndedAnswer } from './settleAnswerEnd.js'
import type { ActiveStream, Call, GatewayContext, TargetRun, TryProgress } from '../types.js'

/** Weight of the latest pause in the moving average of a stream's pauses. */
const PAUSE_WEIGHT = 0.2

/** Largest event of a stream, in bytes, and most pieces in which it may come; it is kept until it is complete. */
const MAX_EVENT_BYTES = 256 * 2 ** 10
const MAX_EVENT_PIECES = 1_024

/** Outcome of one try of a stream. */
export type StreamResult =
  | { kind: 'complete' }
  /** The engine answered with an error status, which is relayed to the caller. */
  | { kind: 'refusedByTarget' } & BufferedAnswer
  /** `isOwnLink`: the request could not be sent, which says nothing of the engine; `isPause`: the engine asked for a pause; `hasLeft`: an engine of the path left before the request was sent. */
  | { kind: 'notRun', cause: string, faultyAddress: string | undefined, hasReachedTarget: boolean, isOwnLink?: boolean, isPause?: boolean, hasLeft?: boolean }
  /** `isBrokenByTarget` is false if this host closed the connection. */
  | { kind: 'brokenOff', cause: string, isBrokenByTarget: boolean }

/** State of a call across all its tries. */
export interface CallProgress extends TryProgress {
  /** Whether any try may have run, so that the call must not be reported as not run. */
  mayHaveRun: boolean
  waitedMs: number
  attempts: string[]
  firstEventMs: number | undefined
  lastEventMs: number | undefined
  /** Longest pause between two events, and when it ended. */
  longestPauseMs: number
  longestPauseEndMs: number
}

/** What the arrival of events is recorded in: the run, and the stream if it passes through a path of engines. */
interface ObservedRun {
  run: TargetRun
  stream: ActiveStream | undefined
  /** Told the id of the last event that was relayed, and whether the caller held up the stream before it. */
  onProgress: (lastEventId: number | undefined, isHeldUp: boolean) => void
}

/** Checks the status and headers of an answer and relays its events. */
export async function relayStream (answer: IncomingMessage, exchange: EndedAnswer['exchange'], call: Call, progress: CallProgress, observed: ObservedRun, context: GatewayContext): Promise<StreamResult> {
  const { run } = observed
  const metadata = context.format.readAnswer(answer.headers)
  const status = answer.statusCode ?? 0
  const isPause = noteStatements(metadata, status, call, run.target, context)
  const verdict = judgeAnswer({ status, metadata, isEncoded: answer.headers['content-encoding'] !== undefined, isRepeatable: call.route.isResumable }, call.facts)
  if (verdict.kind === 'notRun') return { kind: 'notRun', cause: `status ${status}`, faultyAddress: verdict.faultyAddress, hasReachedTarget: true, isPause }
  if (verdict.kind === 'unusable') return { kind: 'brokenOff', cause: verdict.cause, isBrokenByTarget: false }
  if (status !== 200) {
    const body = await readAnswerBody(answer, () => settleAnswerEnd({ answer, exchange, run }, call, { isStream: false }, context), context)
    if (body === undefined) return { kind: 'brokenOff', cause: `status ${status}`, isBrokenByTarget: !exchange.isClosedHere() }
    const framing = run.answer?.framing ?? 'connection'
    if (framing === 'connection' && containsAnswerHead(body, context.format)) return { kind: 'brokenOff', cause: 'another answer follows', isBrokenByTarget: false }
    return { kind: 'refusedByTarget', status, rawHeaders: answer.rawHeaders, body, framing }
  }
  return await relayEvents(answer, exchange, call, progress, observed, context)
}

function relayEvents (answer: IncomingMessage, exchange: EndedAnswer['exchange'], call: Call, progress: CallProgress, { run, stream, onProgress }: ObservedRun, context: GatewayContext): Promise<StreamResult> {
  const { response, startedMs } = call
  const { format, metrics, runtime, suspicions } = context
  const split = createEventSplitter()
  const paced = context.answerPacer.pace(answer)
  let isHeldUp = false
  /** Chunks and the end that have already arrived are still emitted after the answer was destroyed. */
  let isGivenUp = false
  return new Promise(resolve => {
    const fail = (cause: string): void => {
      isGivenUp = true
      const isBrokenByTarget = !exchange.isClosedHere()
      answer.destroy()
      resolve({ kind: 'brokenOff', cause, isBrokenByTarget })
    }
    answer.on('data', (chunk: Buffer) => {
      if (isGivenUp) return
      paced.noteChunk()
      const events = split(chunk)
      const isTooLarge = split.bufferedBytes() > MAX_EVENT_BYTES || split.pieces() > MAX_EVENT_PIECES
      if (events.length === 0 && isTooLarge) return fail('event too large')
      // Less than an event is no progress.
      if (events.length === 0) return
      const nowMs = runtime.monotonicMs()
      const wasHeldUp = isHeldUp
      isHeldUp = false
      for (const event of events) {
        if (!event.isWellFormed) return fail('text that is no event')
        if (event.id === undefined) return fail('event without id')
        if (run.answer?.framing === 'connection' && containsAnswerHead(event.bytes, format)) return fail('another answer follows')
        if (progress.lastEventId !== undefined && event.id !== progress.lastEventId + 1) return fail(`event id ${event.id} follows ${progress.lastEventId}`)
        if (!response.headersSent) response.writeHead(200, withConnectionClose(context, format.buildAnswerHeaders(answer.rawHeaders)))
        if (progress.firstEventMs === undefined) {
          progress.firstEventMs = nowMs
          metrics.firstEventSeconds.observe((nowMs - startedMs) / 1_000)
        }
        run.firstEventMs ??= nowMs
        run.eventCount = (run.eventCount ?? 0) + 1
        progress.lastEventId = event.id
        recordPause(progress, nowMs)
        if (!response.write(event.bytes) && !isHeldUp) {
          isHeldUp = true
          paced.pause()
          response.once('drain', paced.resume)
        }
      }
      if (isTooLarge) return fail('event too large')
      noteProgress(call, run, context)
      onProgress(progress.lastEventId, wasHeldUp)
      if (stream === undefined) return
      if (stream.hasStarted) stream.meanPauseMs += PAUSE_WEIGHT * (nowMs - stream.lastProgressMs - stream.meanPauseMs)
      stream.lastProgressMs = nowMs
      stream.hasStarted = true
      for (const stage of stream.path) suspicions.note(stage.target.id, 'progressed')
    })
    let hasEnded = false
    answer.once('end', async () => {
      if (isGivenUp) return
      hasEnded = true
      if (split.bufferedBytes() > 0) return fail('stream interrupted')
      const verdict = await settleAnswerEnd({ answer, exchange, run }, call, { isStream: true }, context)
      if (isGivenUp) return
      if (verdict !== 'whole') return fail(describeBrokenEnd(run, verdict, 'stream interrupted'))
      response.end()
      learnOutput(call, progress.lastEventId, { isWhole: true }, context)
      resolve({ kind: 'complete' })
    })
    answer.once('error', error => fail(error.message))
    answer.once('close', () => { if (!hasEnded) fail('stream interrupted') })
  })
}

function recordPause (progress: CallProgress, nowMs: number): void {
  const pauseMs = nowMs - (progress.lastEventMs ?? nowMs)
  progress.lastEventMs = nowMs
  if (pauseMs <= progress.longestPauseMs) return
  progress.longestPauseMs = pauseMs
  progress.longestPauseEndMs = nowMs
}
