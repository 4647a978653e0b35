/**
 * Tracks the calls of a port that are in flight, so that shutdown can wait for them, or end the
 * remaining ones with a refusal whose verdict is correct.
 */
import type { ServerResponse } from 'node:http'
import { createWaiters } from '../../runtime/createWaiters/index.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { cutAnswer } from '../cutAnswer/index.js'
import { PROBLEM_CONTENT_TYPE, toProblem } from '../../verdict/toProblem/index.js'
import type { Refusal } from '../../verdict/types.js'

/** A call in flight. */
export interface OpenCall {
  /** ID of the request. */
  request: string
  response: ServerResponse
  /** Whether the call may have reached a target or changed state, which decides the verdict of its refusal. */
  mayHaveRun: boolean
}

/** The calls in flight; callers may track more than the fields of `OpenCall`. */
export interface OpenCalls<Tracked extends OpenCall = OpenCall> {
  /** Counts a call as in flight until its task has ended and its response is closed. */
  track: (call: Tracked, task: Promise<void>) => void
  /** Counts a task without a caller as in flight until it has ended. */
  keep: (task: Promise<void>) => void
  /** Calls whose response is not closed, oldest first. */
  list: () => Tracked[]
  /** Number of calls and tasks in flight. */
  size: () => number
  /** Resolves when nothing is in flight, or when the signal aborts. */
  whenIdle: (signal: AbortSignal) => Promise<void>
  /** Ends every call whose response is not complete with the refusal that `refuse` creates for it. */
  endAll: (refuse: (call: Tracked) => Refusal) => Promise<void>
}

/** Time limit for callers to receive the last bytes of their responses, in milliseconds. */
const FLUSH_TIMEOUT_MS = 1_000

/** Media type of server-sent events. */
const EVENT_STREAM_CONTENT_TYPE = 'text/event-stream'

/**
 * @name createOpenCalls
 * @summary Creates an empty set of open calls.
 * @param options - The runtime.
 * @returns The set.
 *
 * @example
 * const calls = createOpenCalls({ runtime })
 * calls.track({ request, response, mayHaveRun: false }, handler(request, response))
 */
export function createOpenCalls<Tracked extends OpenCall = OpenCall> (options: { runtime: Runtime }): OpenCalls<Tracked> {
  const calls = new Set<Tracked>()
  const tasks = new Set<Promise<unknown>>()
  const waiters = createWaiters()

  function addTask (task: Promise<unknown>): void {
    tasks.add(task)
    task.finally(() => {
      tasks.delete(task)
      if (tasks.size === 0) waiters.release()
    })
  }

  return {
    track (call, task) {
      const closed = new Promise<void>(resolve => {
        if (call.response.closed) resolve()
        else call.response.once('close', resolve)
      })
      calls.add(call)
      closed.then(() => calls.delete(call))
      addTask(Promise.allSettled([task, closed]))
    },
    keep: task => addTask(Promise.allSettled([task])),
    list: () => [...calls],
    size: () => tasks.size,
    async whenIdle (signal) {
      if (tasks.size === 0 || signal.aborted) return
      await waiters.wait(signal)
    },
    async endAll (refuse) {
      const unfinished = [...calls]
      await Promise.race([Promise.all(unfinished.map(call => endCall(call, refuse))), sleep(FLUSH_TIMEOUT_MS, options)])
      for (const { response } of unfinished) response.destroy()
    }
  }
}

async function endCall<Tracked extends OpenCall> (call: Tracked, refuse: (call: Tracked) => Refusal): Promise<void> {
  const { response } = call
  if (response.writableEnded || response.destroyed) return
  const problem = JSON.stringify(toProblem(refuse(call)))
  await new Promise<void>(resolve => {
    response.once('close', resolve)
    if (response.headersSent) return endStartedResponse(response, problem)
    const { status } = JSON.parse(problem) as { status: number }
    response.writeHead(status, { 'content-type': PROBLEM_CONTENT_TYPE, 'retry-after': '1', connection: 'close' })
    response.end(`${problem}\n`)
  })
}

/**
 * Ends a response whose header was already sent. A stream of events gets the refusal as its last
 * event. Any other response is aborted, which the caller sees because the body is incomplete.
 */
function endStartedResponse (response: ServerResponse, problem: string): void {
  if (response.getHeader('content-type') !== EVENT_STREAM_CONTENT_TYPE) {
    cutAnswer(response)
    return
  }
  response.end(`event: error\ndata: ${problem}\n\n`)
}
