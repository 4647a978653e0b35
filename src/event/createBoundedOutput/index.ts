/**
 * Standard output for logs that never blocks: a reader that stops reading costs lines, not time.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

/** Bytes that wait for the reader before lines are dropped. */
const BUFFER_BYTES = 1_048_576

/**
 * @name createBoundedOutput
 * @summary A writable over a file descriptor that drops what its reader does not take.
 * @param options - The descriptor, and what is called with each dropped chunk.
 * @returns The writable; writes to it always succeed.
 *
 * @example
 * const output = createBoundedOutput({ descriptor: 1, onDrop: () => metrics.droppedLogLines.inc() })
 */
export function createBoundedOutput (options: { descriptor: number, onDrop: () => void }): Writable {
  const { descriptor, onDrop } = options
  const sink = openSink(descriptor)
  sink.on('error', onDrop)
  return new Writable({
    write (chunk, _encoding, done) {
      if (sink.destroyed || sink.writableLength > BUFFER_BYTES) onDrop()
      else sink.write(chunk)
      done()
    }
  })
}

/** Pipes and sockets are written without blocking; files do not block for long. */
function openSink (descriptor: number): Writable {
  const stat = fstatSync(descriptor)
  if (stat.isFIFO() || stat.isSocket()) return new Socket({ fd: descriptor, readable: false, writable: true })
  return descriptor === 2 ? process.stderr : process.stdout
}
