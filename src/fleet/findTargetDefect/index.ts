/**
 * Tells which targets must not be used. Entries may come from other writers than the targets, and
 * hosts of an earlier version pass them on as they are, so every value that is used to connect, to
 * build a header, as a key or as a number of things to count is checked.
 */
import { isIPv4 } from 'node:net'
import type { Target } from '../types.js'

/** Longest name, in characters; hosts send each other all names of a target with each of its changes. */
const MAX_NAME_LENGTH = 256

/** Most requests that one target runs at once; far beyond any accelerator. */
const MAX_SLOTS = 100_000

/** Most layers of a model; some decisions go through them one by one. */
export const MAX_LAYERS = 10_000

const MAX_PORT = 65_535

/** Characters that a header may hold, without the space. */
const ID_PATTERN = /^[!-~]+$/

/** Without leading zeros, which some systems read as octal. */
const PORT_PATTERN = /^[1-9]\d{0,4}$/

/** First number of the addresses that stand for this host itself, and the lowest one of those for many hosts or none. */
const UNSPECIFIED_NETWORK = 0
const FIRST_MULTICAST_NETWORK = 224

const isCount = (value: number, most: number): boolean => Number.isInteger(value) && value > 0 && value <= most

/**
 * @name findTargetDefect
 * @summary Finds why a target must not be used.
 * @param target - The target as its entry describes it.
 * @returns The cause, or `undefined` for a sound target.
 *
 * @example
 * const cause = findTargetDefect({ ...target, address: '10.0.0.1:99999' })
 */
export function findTargetDefect ({ id, service, address, failureDomain, bornMs, kind, layers, slots }: Target): string | undefined {
  if (!ID_PATTERN.test(id)) return 'id: no value for a header'
  if ([id, service, failureDomain, kind ?? ''].some(name => name.length > MAX_NAME_LENGTH)) return 'name too long'
  // Kinds are looked up in plain objects.
  if (kind !== undefined && kind in Object.prototype) return 'kind: no name of a kind'
  if (!isUnicastEndpoint(address)) return 'address: no IPv4 address and port of one host'
  if (!Number.isSafeInteger(bornMs) || bornMs < 0) return 'time of start: no Unix time in whole milliseconds'
  if (!isCount(slots, MAX_SLOTS)) return 'slots: no number of requests'
  if (layers !== undefined && !(layers.from < layers.to && isCount(layers.to, MAX_LAYERS))) return 'layers: no range of a model'
  return undefined
}

function isUnicastEndpoint (address: string): boolean {
  const [ip = '', port = '', ...rest] = address.split(':')
  if (rest.length > 0 || !isIPv4(ip) || !PORT_PATTERN.test(port) || Number(port) > MAX_PORT) return false
  const network = Number(ip.slice(0, ip.indexOf('.')))
  return network !== UNSPECIFIED_NETWORK && network < FIRST_MULTICAST_NETWORK
}
