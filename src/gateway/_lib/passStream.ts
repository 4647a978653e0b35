/**
 * Passes an engine's stream on to the caller, event by event, as long as its ids follow each
 * other.
 */
import type { IncomingMessage } from 'node:http'
import { closing, type WholeAnswer } from './answerCaller.js'
import { createEventSplitter } from './createEventSplitter.js'
import { isFramed, readAnswerBody } from './readAnswerBody.js'
import type { ActiveStream, Call, GatewayContext } from '../types.js'

/** Weight of one pause in the mean of a stream's pauses. */
const PAUSE_WEIGHT = 0.2

/** How one try of a stream ended. */
export type StreamResult =
  | { kind: 'complete' }
  /** The engine's own failure, to be passed on. */
  | { kind: 'refusedByTarget' } & WholeAnswer
  | { kind: 'notRun', cause: string, faultyAddress: string | undefined, isArrival: boolean }
  | { kind: 'brokenOff', cause: string }

/** State of a call over all its tries. */
export interface Progress {
  lastEventId: number | undefined
  tries: number
  /** Tries that may have run on an engine that is still there; they count against the route's attempts. */
  arrivals: number
  /** Whether any try may have run, so that the call must not be called unrun. */
  mayHaveRun: boolean
  waitedMs: number
  attempts: string[]
  firstEventMs: number | undefined
  lastEventMs: number | undefined
  /** Longest pause between two events, and when it ended. */
  longestPauseMs: number
  longestPauseEndMs: number
}

/** Judges the head of an answer and passes its events on. */
export async function takeAnswer (answer: IncomingMessage, hasFailed: () => boolean, call: Call, progress: Progress, stream: ActiveStream | undefined, parts: GatewayContext): Promise<StreamResult> {
  const said = parts.format.readAnswer(answer.headers)
  const status = answer.statusCode ?? 0
  if (status !== 200) {
    const body = await readAnswerBody(answer, hasFailed)
    if (said.isNotRun) return { kind: 'notRun', cause: `status ${status}`, faultyAddress: said.faultyAddress, isArrival: true }
    if (body === undefined || !said.isSigned || said.requestId !== call.facts.requestId) return { kind: 'brokenOff', cause: `status ${status}` }
    return { kind: 'refusedByTarget', status, rawHeaders: answer.rawHeaders, body, isFramed: isFramed(answer) }
  }
  if (said.requestId !== call.facts.requestId) return { kind: 'brokenOff', cause: 'answer to another request' }
  if (!said.isSigned || answer.headers['content-encoding'] !== undefined) return { kind: 'brokenOff', cause: 'answer without signature' }
  return await passEvents(answer, hasFailed, call, progress, stream, parts)
}

function passEvents (answer: IncomingMessage, hasFailed: () => boolean, call: Call, progress: Progress, stream: ActiveStream | undefined, parts: GatewayContext): Promise<StreamResult> {
  const { response, startedMs } = call
  const { format, metrics, runtime, suspicions } = parts
  const split = createEventSplitter()
  return new Promise(resolve => {
    const fail = (cause: string): void => {
      answer.destroy()
      resolve({ kind: 'brokenOff', cause })
    }
    answer.on('data', (chunk: Buffer) => {
      const nowMs = runtime.monotonicMs()
      for (const event of split(chunk)) {
        if (event.id === undefined) return fail('event without id')
        if (progress.lastEventId !== undefined && event.id !== progress.lastEventId + 1) return fail(`event ${event.id} after ${progress.lastEventId}`)
        if (!response.headersSent) response.writeHead(200, closing(parts, format.buildAnswerHeaders(answer.rawHeaders)))
        if (progress.firstEventMs === undefined) {
          progress.firstEventMs = nowMs
          metrics.firstEventSeconds.observe((nowMs - startedMs) / 1_000)
        }
        progress.lastEventId = event.id
        notePause(progress, nowMs)
        if (!response.write(event.bytes)) {
          answer.pause()
          response.once('drain', () => answer.resume())
        }
      }
      if (stream === undefined) return
      if (stream.hasStarted) stream.meanPauseMs += PAUSE_WEIGHT * (nowMs - stream.progressedMs - stream.meanPauseMs)
      stream.progressedMs = nowMs
      stream.hasStarted = true
      for (const stage of stream.path) suspicions.note(stage.target.id, 'progressed')
    })
    answer.once('end', () => {
      const isWhole = answer.complete && (isFramed(answer) || !hasFailed())
      if (!isWhole || split.restBytes() > 0 || progress.firstEventMs === undefined) return fail('stream broke off')
      response.end()
      resolve({ kind: 'complete' })
    })
    answer.once('error', error => fail(error.message))
    answer.once('close', () => fail('stream broke off'))
  })
}

function notePause (progress: Progress, nowMs: number): void {
  const pauseMs = nowMs - (progress.lastEventMs ?? nowMs)
  progress.lastEventMs = nowMs
  if (pauseMs <= progress.longestPauseMs) return
  progress.longestPauseMs = pauseMs
  progress.longestPauseEndMs = nowMs
}
