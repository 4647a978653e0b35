// Stand-in of a client: one attempt a call, over kept connections, as PROTOCOL.md tells.
import http from 'node:http'

let count = 0
export const nextId = () => `${process.pid.toString(16)}${(++count).toString(16).padStart(8, '0')}`

/** Sends one request; resolves with what came back, never rejects. The client of a stream leaves after a gap of `gapMs`. */
export function call (gateway, { agent, method = 'POST', path, host, key, deadlineMs = 3_000, gapMs, body, headers = {}, requestId = nextId() }) {
  const record = { requestId, gateway: gateway.name, path, sentMs: Date.now(), status: 0, headers: {}, body: '', isComplete: false, error: undefined, endedMs: 0, isKept: false }
  return new Promise(resolve => {
    let isDone = false
    const finish = () => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      clearTimeout(gap)
      record.endedMs = Date.now()
      record.isKept = request.reusedSocket
      resolve(record)
    }
    const request = http.request({ host: gateway.host, port: gateway.port, agent: agent ?? false, method, path, headers: { host, authorization: `Token ${key}`, 'request-id': requestId, 'deadline-ms': String(deadlineMs), ...headers, ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }) } }, response => {
      record.status = response.statusCode
      record.headers = response.headers
      response.on('data', chunk => {
        record.body += chunk.toString('latin1')
        gap?.refresh()
      })
      response.on('error', error => { record.error = error.code ?? error.message })
      response.on('close', () => { record.isComplete = response.complete; finish() })
    })
    const timer = setTimeout(() => request.destroy(new Error('client left at its deadline')), deadlineMs)
    const gap = gapMs === undefined ? undefined : setTimeout(() => request.destroy(new Error('client left after a gap')), gapMs)
    request.on('error', error => {
      record.error = error.code ?? error.message
      finish()
    })
    request.end(body)
  })
}
