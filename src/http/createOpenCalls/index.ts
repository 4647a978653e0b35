/**
 * The calls that an entry is serving, so that shutdown can wait for the last one, or end each
 * that is left with a true verdict.
 */
import type { ServerResponse } from 'node:http'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { PROBLEM_CONTENT_TYPE, toProblem } from '../../verdict/toProblem/index.js'
import type { Refusal } from '../../verdict/types.js'

/** One call as shutdown sees it. */
export interface OpenCall {
  request: string
  response: ServerResponse
  /** Whether it may have reached a target. */
  isAdmitted: boolean
}

/** The calls in flight. */
export interface OpenCalls {
  /** Holds a call open until its task has ended and its response is closed. */
  track: (call: OpenCall, task: Promise<void>) => void
  /** Holds shutdown up for a task that has no caller. */
  keep: (task: Promise<void>) => void
  size: () => number
  /** Resolves when nothing is in flight, or when the signal aborts. */
  whenIdle: (signal: AbortSignal) => Promise<void>
  /** Ends every call whose answer is not complete. */
  endAll: (refuse: (call: OpenCall) => Refusal) => Promise<void>
}

/** Longest wait for callers to take the last bytes of their answers. */
const FLUSH_LIMIT_MS = 1_000

/** Media type of a stream that can carry the refusal as an event. */
const EVENT_STREAM = 'text/event-stream'

/**
 * @name createOpenCalls
 * @summary An empty set of calls.
 * @param options - The runtime.
 * @returns The set.
 *
 * @example
 * const calls = createOpenCalls({ runtime })
 * calls.track({ request, response, isAdmitted: false }, handler(request, response))
 */
export function createOpenCalls (options: { runtime: Runtime }): OpenCalls {
  const calls = new Set<OpenCall>()
  const tasks = new Set<Promise<unknown>>()
  const waiters = new Set<() => void>()

  function hold (task: Promise<unknown>): void {
    tasks.add(task)
    task.finally(() => {
      tasks.delete(task)
      if (tasks.size === 0) for (const wake of [...waiters]) wake()
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
      hold(Promise.allSettled([task, closed]))
    },
    keep: task => hold(Promise.allSettled([task])),
    size: () => tasks.size,
    async whenIdle (signal) {
      if (tasks.size === 0 || signal.aborted) return
      await new Promise<void>(resolve => {
        const finish = (): void => {
          waiters.delete(finish)
          signal.removeEventListener('abort', finish)
          resolve()
        }
        waiters.add(finish)
        signal.addEventListener('abort', finish, { once: true })
      })
    },
    async endAll (refuse) {
      const left = [...calls]
      await Promise.race([Promise.all(left.map(call => endCall(call, refuse))), sleep(FLUSH_LIMIT_MS, options)])
      for (const { response } of left) response.destroy()
    }
  }
}

async function endCall (call: OpenCall, refuse: (call: OpenCall) => Refusal): Promise<void> {
  const { response } = call
  if (response.writableEnded || response.destroyed) return
  const problem = JSON.stringify(toProblem(refuse(call)))
  await new Promise<void>(resolve => {
    response.once('close', resolve)
    if (response.headersSent) return endBegun(response, problem)
    const { status } = JSON.parse(problem) as { status: number }
    response.writeHead(status, { 'content-type': PROBLEM_CONTENT_TYPE, 'retry-after': '1', connection: 'close' })
    response.end(`${problem}\n`)
  })
}

/** A stream takes the refusal as its last event; any other answer is cut, which its length shows. */
function endBegun (response: ServerResponse, problem: string): void {
  if (response.getHeader('content-type') !== EVENT_STREAM) {
    response.destroy()
    return
  }
  response.end(`event: error\ndata: ${problem}\n\n`)
}
