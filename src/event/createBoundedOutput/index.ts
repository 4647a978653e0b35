/**
 * Log output that never blocks: when its reader stops reading, lines are dropped.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

/** Bytes buffered for the reader; while more are buffered, new lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576

/**
 * @name createBoundedOutput
 * @summary A writable stream over a file descriptor that drops chunks while its reader lags behind.
 * @param options - The file descriptor, and `onDrop`, called once for each dropped chunk and for each write error.
 * @returns The writable stream; writes to it always succeed.
 *
 * @example
 * const output = createBoundedOutput({ descriptor: 1, onDrop: () => metrics.droppedLogLines.inc() })
 */
export function createBoundedOutput (options: { descriptor: number, onDrop: () => void }): Writable {
  const { descriptor, onDrop } = options
  const destination = openDestination(descriptor)
  destination.on('error', onDrop)
  return new Writable({
    write (chunk, _encoding, callback) {
      if (destination.destroyed || destination.writableLength > MAX_BUFFERED_BYTES) onDrop()
      else destination.write(chunk)
      callback()
    }
  })
}

/** Pipes and sockets are opened for writes that do not block; writes to a file block only briefly. */
function openDestination (descriptor: number): Writable {
  const stat = fstatSync(descriptor)
  if (stat.isFIFO() || stat.isSocket()) return new Socket({ fd: descriptor, readable: false, writable: true })
  return descriptor === 2 ? process.stderr : process.stdout
}
