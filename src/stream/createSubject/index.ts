/**
 * Bridge from callbacks to `most`: a subject is pushed into by its owner and observed as a
 * stream by any number of readers.
 */
import { Stream, type Scheduler, type Sink } from 'most'

/** A push source with its stream. */
export interface Subject<A> {
  /** Observers that subscribe late see only later values. */
  stream: Stream<A>
  next: (value: A) => void
  /** Ends the stream; later calls of any kind are ignored. */
  complete: () => void
  /** Fails the stream; later calls of any kind are ignored. */
  fail: (error: Error) => void
}

/**
 * @name createSubject
 * @summary A subject whose values reach all present observers at once.
 * @param options - `holdUntilObserved` keeps what comes before the first observer for that one.
 * @returns The subject, open and without observers.
 *
 * @example
 * const subject = createSubject<number>()
 * subject.stream.observe(console.log)
 * subject.next(1)
 */
export function createSubject<A> (options: { holdUntilObserved?: boolean } = {}): Subject<A> {
  const sinks = new Map<Sink<A>, Scheduler>()
  let outcome: 'open' | 'complete' | Error = 'open'
  let held: A[] | undefined = options.holdUntilObserved ? [] : undefined

  function run (sink: Sink<A>, scheduler: Scheduler): { dispose: () => void } {
    if (outcome === 'open' || held !== undefined) sinks.set(sink, scheduler)
    else queueMicrotask(() => settle(sink, scheduler))
    if (held !== undefined) queueMicrotask(release)
    return { dispose: () => { sinks.delete(sink) } }
  }

  /** Hands what was held to the first observer, and the end after it. */
  function release (): void {
    const values = held
    if (values === undefined) return
    held = undefined
    values.forEach(send)
    if (outcome !== 'open') settleAll()
  }

  function send (value: A): void {
    for (const [sink, scheduler] of sinks) sink.event(scheduler.now(), value)
  }

  function settle (sink: Sink<A>, scheduler: Scheduler): void {
    if (outcome instanceof Error) sink.error(scheduler.now(), outcome)
    else sink.end(scheduler.now())
  }

  function close (result: 'complete' | Error): void {
    if (outcome !== 'open') return
    outcome = result
    if (held === undefined) settleAll()
  }

  function settleAll (): void {
    const observers = [...sinks]
    sinks.clear()
    for (const [sink, scheduler] of observers) settle(sink, scheduler)
  }

  return {
    stream: new Stream<A>({ run }),
    next (value) {
      if (held === undefined) send(value)
      else if (outcome === 'open') held.push(value)
    },
    complete: () => close('complete'),
    fail: error => close(error)
  }
}
