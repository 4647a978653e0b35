/**
 * Cuts the bytes of an event stream into whole events, so that an event that breaks off midway
 * is never passed on.
 */

/** One event with its bytes as they came. */
export interface StreamEvent {
  bytes: Buffer
  /** `undefined` for an event without a whole number as its id. */
  id: number | undefined
}

/** Takes bytes and returns the events that they complete. */
export type EventSplitter = (chunk: Buffer) => StreamEvent[]

const ID_LINE = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/

/** Blank lines that end an event, the usual one first; a stream keeps to one of them. */
const SEPARATORS = ['\n\n', '\r\n\r\n']

/** A splitter at the start of a stream. */
export function createEventSplitter (): EventSplitter & { restBytes: () => number } {
  let rest: Buffer = Buffer.alloc(0)
  const split = (chunk: Buffer): StreamEvent[] => {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
    const events: StreamEvent[] = []
    for (let end = findEnd(rest); end !== undefined; end = findEnd(rest)) {
      const bytes = rest.subarray(0, end)
      const id = ID_LINE.exec(bytes.toString('latin1'))?.[1]
      events.push({ bytes, id: id === undefined ? undefined : Number(id) })
      rest = rest.subarray(end)
    }
    return events
  }
  return Object.assign(split, { restBytes: () => rest.length })
}

function findEnd (bytes: Buffer): number | undefined {
  for (const separator of SEPARATORS) {
    const at = bytes.indexOf(separator)
    if (at >= 0) return at + separator.length
  }
  return undefined
}
