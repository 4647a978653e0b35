/**
 * Splits the bytes of an event stream into complete events, so that a truncated event is never
 * relayed.
 */
import { createByteBuffer } from '../../http/createByteBuffer/index.js'

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

/** Finds the end of the event that begins with the given bytes, after its blank line; those before `from` were searched before. */
export type FindEventEnd = (bytes: Buffer, from: number) => number | undefined

const LF = 10
const CR = 13

/** Lines may end with LF or CRLF. */
export const findEventEnd: FindEventEnd = (bytes, from) => {
  for (let at = bytes.indexOf(LF, from); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    const before = at - (bytes[at - 1] === CR ? 2 : 1)
    if (bytes[before] === LF) return at + 1
  }
  return undefined
}

/** What a splitter holds of the incomplete event. */
interface IncompleteEvent {
  bufferedBytes: () => number
  /** Pieces in which it has come. */
  pieces: () => number
}

/** Creates a splitter for a new stream, which copies and searches each byte a constant number of times. */
export function createEventSplitter ({ findEnd = findEventEnd }: { findEnd?: FindEventEnd } = {}): EventSplitter & IncompleteEvent {
  const buffered = createByteBuffer()
  let pieces = 0
  const split = (chunk: Buffer): StreamEvent[] => {
    const events: StreamEvent[] = []
    const searchedBytes = buffered.size()
    const isContinued = searchedBytes > 0
    if (isContinued) buffered.append(chunk)
    let rest = isContinued ? buffered.bytes() : chunk
    for (let end = findEnd(rest, searchedBytes); end !== undefined; end = findEnd(rest, 0)) {
      const event = rest.subarray(0, end)
      // The buffer is used again.
      events.push(readEvent(isContinued ? Buffer.from(event) : event))
      rest = rest.subarray(end)
    }
    if (isContinued) buffered.discard(buffered.size() - rest.length)
    else if (rest.length > 0) buffered.append(rest)
    pieces = events.length > 0 ? Math.min(1, buffered.size()) : pieces + 1
    return events
  }
  return Object.assign(split, { bufferedBytes: buffered.size, pieces: () => pieces })
}

function readEvent (bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1')
  const id = ID_LINE.exec(text)?.[1]
  return { bytes, id: id === undefined ? undefined : Number(id), isWellFormed: text.split('\n').every(line => LINE_PATTERN.test(line)) }
}
