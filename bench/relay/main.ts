/**
 * A minimal relay, the baseline for the entry: opens one stage on one engine and forwards its
 * frames as server-sent events, without any logic of the router.
 */
import { randomUUID } from 'node:crypto'
import http from 'node:http'
import { createLineSplitter } from '../../src/engine/_lib/createLineSplitter.js'
import type { TokenFrame } from '../../src/engine/types.js'
import { listen } from '../../src/http/listen/index.js'
import { readJson, sendJson } from '../../standin/_lib/json.js'

const [, , layers = '24', ...engines] = process.argv
const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity })
let nextEngine = 0

const server = await listen(async (request, response) => {
  if (request.method === 'GET') {
    const { user, system } = process.cpuUsage()
    return sendJson(response, 200, { cpuS: (user + system) / 1e6 })
  }
  const body = await readJson(request) as { model: string, prompt: string, max_tokens: number }
  const address = engines[nextEngine++ % engines.length]!
  const [host, port] = address.split(':')
  const id = randomUUID()
  const outgoing = http.request({ host, port: Number(port), agent, method: 'POST', path: '/v1/sequences' }, stage => {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    stage.on('data', createLineSplitter(line => {
      const frame = JSON.parse(line) as TokenFrame
      const data = {
        id, object: 'text_completion', model: body.model, choices: [{ index: 0, text: frame.token, finish_reason: frame.last ? 'stop' : null }]
      }
      response.write(`id: ${id}:${frame.attempt}:${frame.position}\ndata: ${JSON.stringify(data)}\n\n`)
    }))
    stage.on('end', () => response.end('data: [DONE]\n\n'))
  })
  outgoing.end(JSON.stringify({
    request: id, attempt: 1, model: body.model, fromLayer: 0, toLayer: Number(layers), firstPosition: 0, prompt: body.prompt, given: [], maxTokens: body.max_tokens, priority: 5, first: address, keptPositions: 0, runFrom: 0, passFrom: 0
  }))
}, { address: '127.0.0.1', port: 0 })
console.log(JSON.stringify({ listening: { caller: server.address } }))
