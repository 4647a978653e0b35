/**
 * Cuts a byte stream into lines.
 */
import { StringDecoder } from 'node:string_decoder'

/** Calls `onLine` for each whole non-empty line of the chunks that it is given. */
export function createLineSplitter (onLine: (line: string) => void): (chunk: Buffer) => void {
  const decoder = new StringDecoder('utf8')
  let rest = ''
  return chunk => {
    const lines = (rest + decoder.write(chunk)).split('\n')
    rest = lines.pop() ?? ''
    for (const line of lines) if (line !== '') onLine(line)
  }
}
