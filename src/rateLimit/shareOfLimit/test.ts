import test from 'ava'
import { countHostsAhead } from '../countHostsAhead/index.js'
import { shareOfLimit } from './index.js'

const ipsOf = (count: number): string[] => Array.from({ length: count }, (_, index) => `10.1.${index >> 8}.${index & 255}`)
const sharesOf = (limitPerS: number, ips: readonly string[], targetId = 'i-1'): number[] =>
  ips.map(ownIp => shareOfLimit(limitPerS, { hostsAhead: countHostsAhead(targetId, { ownIp, otherIps: ips.filter(ip => ip !== ownIp) }), hostCount: ips.length }))

test('the shares of all hosts are the rate, and no host with a share has less than one a second', t => {
  for (const hosts of [1, 7, 195]) {
    for (const limitPerS of [0.4, 1, 2.4, 14.9, 400]) {
      const shares = sharesOf(limitPerS, ipsOf(hosts))
      t.true(Math.abs(shares.reduce((sum, share) => sum + share, 0) - limitPerS) < 1e-9)
      t.true(shares.every(share => share === 0 || share >= Math.min(1, limitPerS)))
    }
  }
})

test('a target that takes nothing is asked now and then by one host', t => {
  t.deepEqual(sharesOf(0, ipsOf(7)).filter(share => share > 0), [0.25])
})

test('targets have different senders', t => {
  const ips = ipsOf(195)
  const senders = Array.from({ length: 40 }, (_, index) => sharesOf(5, ips, `i-${index}`).flatMap((share, host) => share > 0 ? [host] : []))
  const counts = ips.map((_, host) => senders.flat().filter(sender => sender === host).length)
  t.is(senders.flat().length, 200)
  t.true(Math.max(...counts) <= 6)
})
