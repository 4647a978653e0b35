/**
 * Splits the bytes of an event stream into complete events, so that a truncated event is never
 * relayed.
 */

/** One event with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer
  /** `undefined` if the event has no integer id. */
  id: number | undefined
}

/** Takes bytes and returns the events that they complete. */
export type EventSplitter = (chunk: Buffer) => StreamEvent[]

const ID_LINE = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/

/** Separators between events, the usual one first; a stream uses only one of them. */
const SEPARATORS = ['\n\n', '\r\n\r\n']

/** Creates a splitter for a new stream; `bufferedBytes` counts the bytes of the incomplete event. */
export function createEventSplitter (): EventSplitter & { bufferedBytes: () => number } {
  let buffered: Buffer = Buffer.alloc(0)
  const split = (chunk: Buffer): StreamEvent[] => {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk])
    const events: StreamEvent[] = []
    for (let end = findEnd(buffered); end !== undefined; end = findEnd(buffered)) {
      const bytes = buffered.subarray(0, end)
      const id = ID_LINE.exec(bytes.toString('latin1'))?.[1]
      events.push({ bytes, id: id === undefined ? undefined : Number(id) })
      buffered = buffered.subarray(end)
    }
    return events
  }
  return Object.assign(split, { bufferedBytes: () => buffered.length })
}

function findEnd (bytes: Buffer): number | undefined {
  for (const separator of SEPARATORS) {
    const at = bytes.indexOf(separator)
    if (at >= 0) return at + separator.length
  }
  return undefined
}
