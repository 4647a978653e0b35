import { once } from 'node:events'
import http from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import test from 'ava'
import { failOnReset } from '../../links/_lib/failOnReset.js'
import { cutAnswer } from './index.js'

for (const [version, isReset] of [['1.0', true], ['1.1', false]] as const) {
  test(`an answer over HTTP/${version} that is cut does not look complete`, async t => {
    const server = http.createServer((_request, response) => { response.write('half', () => cutAnswer(response)) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    failOnReset(caller)
    let text = ''
    let failure: Error | undefined
    caller.on('data', bytes => { text += bytes.toString() })
    caller.on('error', error => { failure = error })
    caller.write(`GET / HTTP/${version}\r\nHost: x\r\n\r\n`)
    await new Promise<void>(resolve => { caller.once('close', () => resolve()) })
    server.close()
    t.is(failure !== undefined, isReset)
    t.false(text.endsWith('0\r\n\r\n'))
  })
}
