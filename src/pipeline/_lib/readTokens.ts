/**
 * Reading the tokens of one attempt, with the deadlines of silence.
 */
import type { TokenFrame } from '../../engine/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { OpenChain } from '../types.js'

/** How the reading of one attempt ended. */
export type ReadEnd =
  | { kind: 'complete' }
  /** A stage ended or failed. */
  | { kind: 'lost', target: string, cause: string }
  /** No token came in time, and nothing else failed. */
  | { kind: 'silent', silentMs: number }
  | { kind: 'aborted' }

/** What reading needs to know. */
export interface ReadTokensOptions {
  /** Next position of the answer. */
  firstPosition: number
  firstTokenMs: number
  betweenTokensMs: number
  runtime: Runtime
  signal: AbortSignal
  /** Called once for each position, in order. */
  onToken: (frame: TokenFrame) => void
}

/**
 * Reads until the answer is complete or the attempt is lost. Frames of another attempt and
 * positions other than the next are dropped.
 */
export function readTokens (open: OpenChain, options: ReadTokensOptions): Promise<ReadEnd> {
  const { firstTokenMs, betweenTokensMs, runtime, signal, onToken } = options
  return new Promise(resolve => {
    let position = options.firstPosition
    let settled = false
    let timer = runtime.setTimer(firstTokenMs, () => finish({ kind: 'silent', silentMs: firstTokenMs }))
    const onAbort = (): void => finish({ kind: 'aborted' })

    function finish (end: ReadEnd): void {
      if (settled) return
      settled = true
      timer[Symbol.dispose]()
      signal.removeEventListener('abort', onAbort)
      resolve(end)
    }

    function take (frame: TokenFrame): void {
      if (settled || frame.attempt !== open.attempt || frame.position !== position) return
      position += 1
      timer[Symbol.dispose]()
      onToken(frame)
      if (frame.last) return finish({ kind: 'complete' })
      timer = runtime.setTimer(betweenTokensMs, () => finish({ kind: 'silent', silentMs: betweenTokensMs }))
    }

    if (signal.aborted) onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    for (const stage of open.stages) {
      stage.frames.observe(take).then(
        () => finish({ kind: 'lost', target: stage.target, cause: 'the stage ended before the answer' }),
        (error: Error) => finish({ kind: 'lost', target: stage.target, cause: error.message })
      )
    }
  })
}
