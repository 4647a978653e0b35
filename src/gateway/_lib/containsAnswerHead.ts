/**
 * Finds the head of a further answer in a body that ends with its connection. Such a body has no
 * end of its own: a head in it shows that the connection went on after the answer, or that the
 * target began anew in its midst, so that nothing tells whether what stands before it is whole.
 */
import type { CallFormat } from '../types.js'

/** Begins every answer. */
const MARKER = 'HTTP/1.'

/** A status line, which may stand behind the last bytes of a body. */
const STATUS_LINE_PATTERN = /HTTP\/1\.[01] \d{3}(?: |$)/

/** What there is of a status line at the end of a body; less of it cannot be told from ordinary text. */
const CUT_STATUS_LINE_PATTERN = /HTTP\/1\.[01] \d{0,3}$/

/** A line of a head: a name, a colon and a value. */
const HEADER_LINE_PATTERN = /^[\w!#$%&'*+.^`|~-]+:/

/** The beginning of such a line at the end of a body. */
const CUT_HEADER_LINE_PATTERN = /^(?:[\w!#$%&'*+.^`|~-]+(?::|$)|\r?$)/

/**
 * Whether a body contains the head of an answer that names a request, or ends within what may
 * become one. A head without the id of a request is taken for a text that quotes one. Each byte is
 * looked at once.
 *
 * @example
 * if (containsAnswerHead(body, format)) return { kind: 'mayHaveRun', cause: 'another answer follows' }
 */
export function containsAnswerHead (body: Buffer, { readAnswerHead }: Pick<CallFormat, 'readAnswerHead'>): boolean {
  const firstAt = body.indexOf(MARKER)
  if (firstAt < 0) return false
  /** Lines of the head that has begun; each later one that could begin meanwhile would end with it. */
  let head: string[] | undefined
  for (let at = firstAt, end = 0; at <= body.length; at = end + 1) {
    end = body.indexOf('\n', at)
    const isCut = end < 0
    if (isCut) end = body.length
    const line = body.toString('latin1', at, end).replace(/\r$/, '')
    if (head !== undefined && line === '' && !isCut) {
      if (readAnswerHead(head.join('\r\n'))?.metadata.requestId !== undefined) return true
      head = undefined
    } else if (head !== undefined && (isCut ? CUT_HEADER_LINE_PATTERN : HEADER_LINE_PATTERN).test(line)) {
      head.push(line)
    } else {
      const beginsAt = line.search(isCut ? CUT_STATUS_LINE_PATTERN : STATUS_LINE_PATTERN)
      const foundAt = beginsAt < 0 ? line.search(STATUS_LINE_PATTERN) : beginsAt
      head = foundAt < 0 ? undefined : [line.slice(foundAt)]
    }
  }
  return head !== undefined
}
