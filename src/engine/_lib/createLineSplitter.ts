/**
 * Splits a byte stream into lines.
 */
import { StringDecoder } from 'node:string_decoder'

/** Returns a function that takes UTF-8 chunks and calls `onLine` for each complete, non-empty line. */
export function createLineSplitter (onLine: (line: string) => void): (chunk: Buffer) => void {
  const decoder = new StringDecoder('utf8')
  let incompleteLine = ''
  return chunk => {
    const lines = (incompleteLine + decoder.write(chunk)).split('\n')
    incompleteLine = lines.pop() ?? ''
    for (const line of lines) if (line !== '') onLine(line)
  }
}
