import test from 'ava'
import fc from 'fast-check'
import { isBefore, planNeighbors, type Member } from './index.js'

const DOMAINS = ['east', 'north', 'south']
const buildMembers = (count: number): Member[] => Array.from({ length: count }, (_, index) => ({ ip: `10.0.${index >> 8}.${index & 255}`, failureDomain: DOMAINS[index % DOMAINS.length]! }))
const planAll = (members: readonly Member[]) => members.map(own => ({ own, plan: planNeighbors(own, members.filter(other => other !== own)) }))

test('up to nine hosts, all are roots', t => {
  t.true(planAll(buildMembers(9)).every(({ plan }) => plan.isRoot && plan.otherRoots.length === 8))
  t.is(planAll(buildMembers(10)).filter(({ plan }) => plan.isRoot).length, DOMAINS.length)
})

test('every host has a parent of its domain that precedes it, and no host has more than six children', t => {
  fc.assert(fc.property(fc.integer({ min: 10, max: 200 }), count => {
    const plans = planAll(buildMembers(count))
    const domainOf = new Map(plans.map(({ own }) => [own.ip, own.failureDomain]))
    const children = new Map<string, number>()
    for (const { own, plan } of plans) {
      if (plan.isRoot) continue
      if (domainOf.get(plan.parent!) !== own.failureDomain || !isBefore(plan.parent!, own.ip)) return false
      children.set(plan.parent!, (children.get(plan.parent!) ?? 0) + 1)
    }
    return Math.max(...children.values()) <= 6
  }), { seed: 20261204, numRuns: 30 })
  t.pass()
})

test('hosts agree on the roots, and a root that is gone is replaced by one host', t => {
  const members = buildMembers(60)
  const rootsOf = (among: readonly Member[]): string[] => planAll(among).filter(({ plan }) => plan.isRoot).map(({ own }) => own.ip)
  const roots = rootsOf(members)
  t.true(planAll(members).every(({ plan }) => plan.roots.every(root => roots.includes(root.ip))))
  const left = rootsOf(members.filter(member => member.ip !== roots[0]))
  t.is(left.length, roots.length)
  t.is(left.filter(ip => !roots.includes(ip)).length, 1)
})
