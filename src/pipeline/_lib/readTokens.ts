/**
 * Reads the tokens of one attempt and examines the chain when none arrives within a deadline.
 */
import type { TokenFrame } from '../../engine/types.js'
import type { Runtime } from '../../runtime/types.js'
import type { Examination } from '../examineChain/index.js'
import type { OpenChain } from '../types.js'

/** How reading one attempt ended. */
export type ReadOutcome =
  | { kind: 'complete' }
  /** The stream of a stage ended or failed. */
  | { kind: 'lost', target: string, cause: string }
  /** No token came before the deadline, and the examination found a fault. */
  | { kind: 'silent', examination: Examination }
  | { kind: 'aborted' }

/** Deadlines and callbacks of reading. */
export interface ReadTokensOptions {
  firstTokenMs: number
  betweenTokensMs: number
  /**
   * Set after a failed attempt: examines the chain well before the deadline of the first token. A
   * lost link is then reported only when two examinations in a row find no progress.
   */
  examinesEarly: boolean
  runtime: Runtime
  signal: AbortSignal
  /** Delivers a token to the caller; returns false where its position is not the next one. */
  deliver: (frame: TokenFrame) => boolean
  /** Determines why no token arrived. */
  examine: () => Promise<Examination>
}

/** Time until the first early examination, as a fraction of the deadline between tokens. */
const FIRST_EARLY_CHECK = 1 / 2

/** Time from one early examination to the next, as a fraction of the deadline between tokens. */
const NEXT_EARLY_CHECK = 1 / 4

/**
 * Reads until the answer is complete or the attempt is lost. Frames of another attempt and
 * positions other than the next are dropped. When a deadline passes the chain is examined, and the
 * wait goes on while one of its stages is working.
 */
export function readTokens (openedChain: OpenChain, options: ReadTokensOptions): Promise<ReadOutcome> {
  const { firstTokenMs, betweenTokensMs, runtime, examinesEarly, signal, deliver, examine } = options
  return new Promise(resolve => {
    let received = 0
    let settled = false
    let previousExamination: Examination | undefined
    let timer = examinesEarly ? startTimer(betweenTokensMs * FIRST_EARLY_CHECK, checkEarly) : startTimer(firstTokenMs)
    const onAbort = (): void => finish({ kind: 'aborted' })

    function startTimer (deadlineMs: number, check = checkAfterDeadline): Disposable {
      return runtime.setTimer(deadlineMs, () => { check(deadlineMs).catch(fail) })
    }

    /** Frames may be in flight between two stages, so a lost link counts only if no stage progressed since the last check. */
    async function checkEarly (): Promise<void> {
      const examination = await examine()
      if (settled || received > 0) return
      const hasProgressed = previousExamination?.positionSum !== examination.positionSum
      previousExamination = examination
      const { kind } = examination.finding
      if (kind === 'working' || (kind === 'linkLost' && hasProgressed)) timer = startTimer(betweenTokensMs * NEXT_EARLY_CHECK, checkEarly)
      else finish({ kind: 'silent', examination })
    }

    const fail = (error: Error): void => finish({ kind: 'lost', target: openedChain.stages.at(-1)!.target, cause: error.message })

    /** A chain paused by a slow caller is not examined: the missing tokens are no fault of its stages. */
    async function checkAfterDeadline (deadlineMs: number): Promise<void> {
      const receivedBefore = received
      const isPaused = openedChain.stages.at(-1)!.isPaused()
      const examination = isPaused ? undefined : await examine()
      if (settled || received !== receivedBefore) return
      if (examination === undefined || examination.finding.kind === 'working') timer = startTimer(deadlineMs)
      else finish({ kind: 'silent', examination })
    }

    function finish (outcome: ReadOutcome): void {
      if (settled) return
      settled = true
      timer[Symbol.dispose]()
      signal.removeEventListener('abort', onAbort)
      resolve(outcome)
    }

    function handleFrame (frame: TokenFrame): void {
      if (settled || frame.attempt !== openedChain.attempt || !deliver(frame)) return
      received += 1
      timer[Symbol.dispose]()
      if (frame.last) return finish({ kind: 'complete' })
      timer = startTimer(betweenTokensMs)
    }

    if (signal.aborted) onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    // Only the last stage's end counts: with a slow reader the other streams may end before its last tokens arrive.
    const last = openedChain.stages.at(-1)
    for (const stage of openedChain.stages) {
      stage.frames.observe(handleFrame).then(
        () => stage === last && finish({ kind: 'lost', target: stage.target, cause: 'the stage ended before the answer' }),
        (error: Error) => finish({ kind: 'lost', target: stage.target, cause: error.message })
      )
    }
  })
}
