import test from 'ava'
import { countHostsAhead } from './index.js'

const ips = Array.from({ length: 195 }, (_, index) => `10.1.0.${index}`)
const positionsFor = (targetId: string): number[] => ips.map(ownIp => countHostsAhead(targetId, { ownIp, otherIps: ips.filter(ip => ip !== ownIp) }))

test('each host has another position', t => {
  t.deepEqual([...positionsFor('i-1')].sort((a, b) => a - b), ips.map((_, index) => index))
})

test('the order differs from target to target', t => {
  const first = Array.from({ length: 40 }, (_, index) => positionsFor(`i-${index}`).indexOf(0))
  t.true(new Set(first).size > 30)
})
