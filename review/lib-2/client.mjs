/**
 * A client (PROTOCOL.md, "Requests" and "Answers"): one attempt on a connection of its own.
 */
import net from 'node:net'

/** Sends one request and resolves with what came until the answer was complete, the connection ended or the deadline passed. */
export function attempt ({ host, port, method, path, requestId, deadlineMs, headers = {}, body = '' }) {
  return new Promise(resolve => {
    const startedMs = Date.now()
    const socket = net.connect({ host, port })
    let bytes = Buffer.alloc(0)
    let isDone = false
    const finish = end => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      socket.destroy()
      resolve({ requestId, end, tookMs: Date.now() - startedMs, ...parse(bytes) })
    }
    const timer = setTimeout(() => finish('deadline'), deadlineMs)
    socket.once('connect', () => {
      const lines = [`${method} ${path} HTTP/1.1`, 'Host: desk.example', `Request-Id: ${requestId}`, `Deadline-Ms: ${deadlineMs}`, 'Authorization: Token key-of-tenant-1',
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]), '', '']
      socket.write(lines.join('\r\n') + body)
    })
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk])
      if (parse(bytes).isComplete) finish('complete')
    })
    socket.once('end', () => finish('closed'))
    socket.once('error', error => finish(error.code))
  })
}

/** Reads an answer; `isComplete` as its framing says. */
export function parse (bytes) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return { isComplete: false, status: undefined, body: '' }
  const [statusLine, ...lines] = bytes.toString('latin1', 0, end).split('\r\n')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(statusLine.split(' ')[1])
  const rest = bytes.subarray(end + 4)
  if (headers['content-length'] !== undefined) {
    const length = Number(headers['content-length'])
    return { status, headers, body: rest.toString('latin1', 0, length), isComplete: rest.length >= length }
  }
  if (!/chunked/i.test(headers['transfer-encoding'] ?? '')) return { status, headers, body: rest.toString('latin1'), isComplete: false }
  let at = 0
  let body = ''
  for (;;) {
    const lineEnd = rest.indexOf('\r\n', at)
    if (lineEnd < 0) return { status, headers, body, isComplete: false }
    const size = parseInt(rest.toString('latin1', at, lineEnd), 16)
    if (size === 0) return { status, headers, body, isComplete: rest.length >= lineEnd + 4 }
    if (rest.length < lineEnd + 2 + size + 2) return { status, headers, body: body + rest.toString('latin1', lineEnd + 2), isComplete: false }
    body += rest.toString('latin1', lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 2 + size + 2
  }
}
