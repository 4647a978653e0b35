/**
 * Bridges callbacks to `most` streams: the owner of a subject pushes values, and any number of
 * observers subscribe to its stream.
 */
import { Stream, type Scheduler, type Sink } from 'most'

/** A stream together with the functions that push into it. */
export interface Subject<A> {
  /** Observers receive only values that are pushed after they subscribe, unless held for the first one. */
  stream: Stream<A>
  next: (value: A) => void
  /** Ends the stream; later calls of any kind are ignored. */
  complete: () => void
  /** Fails the stream; later calls of any kind are ignored. */
  fail: (error: Error) => void
}

/**
 * @name createSubject
 * @summary Creates a subject that passes each value on to all current observers synchronously.
 * @param options - `holdUntilObserved` buffers values until the first observer subscribes and delivers them to it.
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
    else queueMicrotask(() => endSink(sink, scheduler))
    if (held !== undefined) queueMicrotask(flushHeld)
    return { dispose: () => { sinks.delete(sink) } }
  }

  /** Delivers the buffered values, and then the end, to the first observer. */
  function flushHeld (): void {
    const values = held
    if (values === undefined) return
    held = undefined
    values.forEach(send)
    if (outcome !== 'open') endAllSinks()
  }

  function send (value: A): void {
    for (const [sink, scheduler] of sinks) sink.event(scheduler.now(), value)
  }

  function endSink (sink: Sink<A>, scheduler: Scheduler): void {
    if (outcome instanceof Error) sink.error(scheduler.now(), outcome)
    else sink.end(scheduler.now())
  }

  function close (result: 'complete' | Error): void {
    if (outcome !== 'open') return
    outcome = result
    if (held === undefined) endAllSinks()
  }

  function endAllSinks (): void {
    const observers = [...sinks]
    sinks.clear()
    for (const [sink, scheduler] of observers) endSink(sink, scheduler)
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
