/**
 * Splits the bytes of an event stream into complete events, so that a truncated event is never
 * relayed.
 */

/** One event with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer
  /** `undefined` if the event has no integer id. */
  id: number | undefined
  /** Whether each line is a field or a comment; other text, such as the head of a further answer, is no event. */
  isWellFormed: boolean
}

/** Takes bytes and returns the events that they complete. */
export type EventSplitter = (chunk: Buffer) => StreamEvent[]

const ID_LINE = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/

/** A line of an event: a name, a colon and a value, a comment, the bare name of a field of the standard, or the empty line at the end. */
const LINE_PATTERN = /^(?:[\w-]*:[^]*|data|event|id|retry|)\r?$/

/** Separators between events. */
const SEPARATORS = ['\n\n', '\r\n\r\n']

/** Creates a splitter for a new stream; `bufferedBytes` counts the bytes of the incomplete event. */
export function createEventSplitter (): EventSplitter & { bufferedBytes: () => number } {
  let buffered: Buffer = Buffer.alloc(0)
  const split = (chunk: Buffer): StreamEvent[] => {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk])
    const events: StreamEvent[] = []
    for (let end = findEnd(buffered); end !== undefined; end = findEnd(buffered)) {
      const bytes = buffered.subarray(0, end)
      const text = bytes.toString('latin1')
      const id = ID_LINE.exec(text)?.[1]
      events.push({ bytes, id: id === undefined ? undefined : Number(id), isWellFormed: text.split('\n').every(line => LINE_PATTERN.test(line)) })
      buffered = buffered.subarray(end)
    }
    return events
  }
  return Object.assign(split, { bufferedBytes: () => buffered.length })
}

/** End of the first event. */
function findEnd (bytes: Buffer): number | undefined {
  const ends = SEPARATORS.flatMap(separator => {
    const at = bytes.indexOf(separator)
    return at < 0 ? [] : [at + separator.length]
  })
  return ends.length === 0 ? undefined : Math.min(...ends)
}
