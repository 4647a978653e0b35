/**
 * Places a host in the exchange of digests. It is meant for fleets of hundreds of hosts, where a
 * host that sent to all others would spend its processor time on it, and one that took turns
 * would know of most others only what is seconds old.
 *
 * The hosts of each failure domain form a tree, in an order that all hosts agree on, and the roots
 * of the trees send to each other. In a small fleet every host is a root, so that each sends to
 * every other. The work of a host depends on the number of failure domains, not on the number of
 * hosts, and little crosses the links between domains.
 */

import { hashText } from '../../path/hashLoadKey/index.js'

/** A host that is alive. */
export interface Member {
  ip: string
  failureDomain: string
}

/** Hosts to which a host sends: other roots if it is a root, otherwise its parent. */
export interface NeighborPlan {
  isRoot: boolean
  /** Number of hosts between this one and the other roots: 0 for a root, 1 for its children. */
  depth: number
  /** Address of the parent; `undefined` for a root. */
  parent: string | undefined
  /** Addresses of the other roots; empty unless the host is a root. */
  otherRoots: string[]
  /** All roots, as far as the host knows. */
  roots: Member[]
}

/** Hosts below each host of the tree. */
const CHILDREN_PER_HOST = 6

/** Largest fleet in which every host is a root. */
const MAX_ROOTS_ONLY = 9

const keyByAddress = new Map<string, number>()

/** Most keys that are kept; beyond it all are dropped, with those of hosts that are gone. */
const MAX_KEPT_KEYS = 10_000

/** Key by which hosts are ordered; neighboring addresses are spread. */
function orderKey (ip: string): number {
  const known = keyByAddress.get(ip)
  if (known !== undefined) return known
  const hash = hashText(ip)
  // The last characters reach only the low bits of the hash; mixing spreads them over all bits.
  const mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b) >>> 0
  if (keyByAddress.size >= MAX_KEPT_KEYS) keyByAddress.clear()
  keyByAddress.set(ip, (mixed ^ (mixed >>> 13)) >>> 0)
  return keyByAddress.get(ip)!
}

/** Whether a host is before another one in the order of the tree; only such a host may be its parent. */
export function isBefore (one: string, other: string): boolean {
  const [key, otherKey] = [orderKey(one), orderKey(other)]
  return key === otherKey ? one < other : key < otherKey
}

/**
 * @name planNeighbors
 * @summary Finds the neighbors of a host.
 * @param own - The host.
 * @param others - Other hosts that are alive, in any order.
 * @returns Its neighbors towards the roots; hosts below it make themselves known.
 *
 * @example
 * planNeighbors({ ip: '10.1.0.40', failureDomain: 'north' }, members)
 */
export function planNeighbors (own: Member, others: readonly Member[]): NeighborPlan {
  const byDomain = new Map<string, Member[]>([[own.failureDomain, [own]]])
  for (const member of others) {
    const members = byDomain.get(member.failureDomain)
    if (members === undefined) byDomain.set(member.failureDomain, [member])
    else members.push(member)
  }
  const rootsPerDomain = others.length < MAX_ROOTS_ONLY ? MAX_ROOTS_ONLY : 1
  const roots = [...byDomain.values()].flatMap(members => firstInOrder(members, rootsPerDomain))
  if (roots.includes(own)) return { isRoot: true, depth: 0, parent: undefined, otherRoots: toAddresses(roots.filter(root => root !== own)), roots }
  const ownDomain = inOrder(byDomain.get(own.failureDomain)!)
  const parentOf = (position: number): number => Math.floor((position - rootsPerDomain) / CHILDREN_PER_HOST)
  const position = ownDomain.indexOf(own)
  let depth = 0
  for (let ancestor = position; ancestor >= rootsPerDomain; ancestor = parentOf(ancestor)) depth++
  return { isRoot: false, depth, parent: ownDomain[parentOf(position)]!.ip, otherRoots: [], roots }
}

const inOrder = (members: Member[]): Member[] => members.sort((a, b) => isBefore(a.ip, b.ip) ? -1 : 1)

const firstInOrder = (members: Member[], count: number): Member[] =>
  count === 1 ? [members.reduce((first, member) => isBefore(member.ip, first.ip) ? member : first)] : inOrder(members).slice(0, count)

const toAddresses = (members: readonly Member[]): string[] => members.map(member => member.ip)
