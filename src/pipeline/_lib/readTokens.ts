/**
 * Reading the tokens of one attempt, with the deadlines of silence.
 */
import type { TokenFrame } from '../../engine/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { Examination } from '../examineChain/index.js'
import type { OpenChain } from '../types.js'

/** How the reading of one attempt ended. */
export type ReadEnd =
  | { kind: 'complete' }
  /** A stage's stream ended or failed. */
  | { kind: 'lost', target: string, cause: string }
  /** No token came in time, and the examination found a fault. */
  | { kind: 'silent', examination: Examination }
  | { kind: 'aborted' }

/** What reading needs to know. */
export interface ReadTokensOptions {
  firstTokenMs: number
  betweenTokensMs: number
  /** Looks at the chain of a later attempt before its deadline; a lost link must then show twice. */
  looksEarly: boolean
  runtime: Runtime
  signal: AbortSignal
  /** Hands a token on; false where its position is not the next one. */
  give: (frame: TokenFrame) => boolean
  /** Finds out why no token came. */
  examine: () => Promise<Examination>
}

/** Part of the deadline between tokens after which the chain of a later attempt is first looked at. */
const EARLY_LOOK = 1 / 2

/** Part of the deadline between tokens from one early look to the next. */
const NEXT_LOOK = 1 / 4

/**
 * Reads until the answer is complete or the attempt is lost. Frames of another attempt and
 * positions other than the next are dropped. When a deadline passes the chain is examined, and
 * while one of its stages works the wait goes on.
 */
export function readTokens (open: OpenChain, options: ReadTokensOptions): Promise<ReadEnd> {
  const { firstTokenMs, betweenTokensMs, runtime, looksEarly, signal, give, examine } = options
  return new Promise(resolve => {
    let given = 0
    let settled = false
    let lookedAt: Examination | undefined
    let timer = looksEarly ? watch(betweenTokensMs * EARLY_LOOK, lookEarly) : watch(firstTokenMs)
    const onAbort = (): void => finish({ kind: 'aborted' })

    function watch (deadlineMs: number, look = question): Disposable {
      return runtime.setTimer(deadlineMs, () => { look(deadlineMs).catch(fail) })
    }

    /** Frames may be on their way between two stages: a lost link counts when nothing moved since the last look. */
    async function lookEarly (): Promise<void> {
      const examination = await examine()
      if (settled || given > 0) return
      const hasMoved = lookedAt?.progress !== examination.progress
      lookedAt = examination
      const { kind } = examination.finding
      if (kind === 'working' || (kind === 'linkLost' && hasMoved)) timer = watch(betweenTokensMs * NEXT_LOOK, lookEarly)
      else finish({ kind: 'silent', examination })
    }

    const fail = (error: Error): void => finish({ kind: 'lost', target: open.stages.at(-1)!.target, cause: error.message })

    async function question (deadlineMs: number): Promise<void> {
      const before = given
      const isPaused = open.stages.at(-1)!.isPaused()
      const examination = isPaused ? undefined : await examine()
      if (settled || given !== before) return
      if (examination === undefined || examination.finding.kind === 'working') timer = watch(deadlineMs)
      else finish({ kind: 'silent', examination })
    }

    function finish (end: ReadEnd): void {
      if (settled) return
      settled = true
      timer[Symbol.dispose]()
      signal.removeEventListener('abort', onAbort)
      resolve(end)
    }

    function take (frame: TokenFrame): void {
      if (settled || frame.attempt !== open.attempt || !give(frame)) return
      given += 1
      timer[Symbol.dispose]()
      if (frame.last) return finish({ kind: 'complete' })
      timer = watch(betweenTokensMs)
    }

    if (signal.aborted) onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    // The streams of other stages may end before the last tokens have come through a slow reader.
    const last = open.stages.at(-1)
    for (const stage of open.stages) {
      stage.frames.observe(take).then(
        () => stage === last && finish({ kind: 'lost', target: stage.target, cause: 'the stage ended before the answer' }),
        (error: Error) => finish({ kind: 'lost', target: stage.target, cause: error.message })
      )
    }
  })
}
