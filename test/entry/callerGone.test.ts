import test from 'ava'
import { standStillForCaller } from '../fakes/standStill.js'
import { ACCOUNT_HEADERS, startLocalEntry } from '../fakes/startLocalEntry.js'

test('an entry that stood still admits no call whose caller has left', async t => {
  await using local = await startLocalEntry({ log: { level: 'debug', file: '/dev/null' } })
  const text = `POST /services/orders/orders HTTP/1.1\r\nHost: x\r\nAuthorization: ${ACCOUNT_HEADERS.authorization}\r\nContent-Length: 2\r\n\r\n{}`
  await standStillForCaller(local.entry.callerAddress, { text })
  const answer = await local.book('order-1')
  await answer.body.dump()
  t.deepEqual(local.entry.daemon.log.recent().filter(({ name }) => name === 'requestAdmitted').length, 1)
})
