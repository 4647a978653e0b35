/**
 * Reads the body of an answer to a call of this host itself. A body may come without end, from
 * whatever listens at an address by now.
 */
import { createByteBuffer } from '../createByteBuffer/index.js'

/**
 * @name readBoundedBody
 * @summary Reads a whole body; rejects as soon as it is larger than allowed, and closes its connection.
 * @param body - The body.
 * @param maxBytes - Largest size, in bytes.
 * @returns Its bytes; rejects with an error that names the limit, or with that of the body.
 *
 * @example
 * const { body } = await request('http://127.0.0.1:8080/state')
 * JSON.parse((await readBoundedBody(body, 1_048_576)).toString('utf8'))
 */
export async function readBoundedBody (body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> {
  const buffer = createByteBuffer()
  for await (const chunk of body) {
    if (buffer.size() + chunk.length > maxBytes) throw new Error(`body larger than ${maxBytes} bytes`)
    buffer.append(chunk)
  }
  return buffer.bytes()
}
