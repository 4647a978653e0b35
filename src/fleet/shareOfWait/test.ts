import test from 'ava'
import { shareOfWait } from './index.js'

test('the waits of hosts that know each other end at even intervals, and a single host waits as usual', t => {
  const ips = ['10.1.0.1', '10.1.0.2', '10.2.0.1', '10.3.0.1']
  t.deepEqual(ips.map(ip => shareOfWait(ip, ips.filter(other => other !== ip))).sort(), [0.25, 0.5, 0.75, 1])
  t.is(shareOfWait('10.1.0.1', []), 1)
})
