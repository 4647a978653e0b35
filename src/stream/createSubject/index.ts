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
 * @returns The subject, open and without observers.
 *
 * @example
 * const subject = createSubject<number>()
 * subject.stream.observe(console.log)
 * subject.next(1)
 */
export function createSubject<A> (): Subject<A> {
  const sinks = new Map<Sink<A>, Scheduler>()
  let outcome: 'open' | 'complete' | Error = 'open'

  function run (sink: Sink<A>, scheduler: Scheduler): { dispose: () => void } {
    if (outcome === 'open') sinks.set(sink, scheduler)
    else queueMicrotask(() => settle(sink, scheduler))
    return { dispose: () => { sinks.delete(sink) } }
  }

  function settle (sink: Sink<A>, scheduler: Scheduler): void {
    if (outcome instanceof Error) sink.error(scheduler.now(), outcome)
    else sink.end(scheduler.now())
  }

  function close (result: 'complete' | Error): void {
    if (outcome !== 'open') return
    outcome = result
    const observers = [...sinks]
    sinks.clear()
    for (const [sink, scheduler] of observers) settle(sink, scheduler)
  }

  return {
    stream: new Stream<A>({ run }),
    next (value) {
      for (const [sink, scheduler] of sinks) sink.event(scheduler.now(), value)
    },
    complete: () => close('complete'),
    fail: error => close(error)
  }
}
