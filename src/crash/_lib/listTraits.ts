/**
 * Lists what the crashes under several requests can have in common, from the most specific trait
 * to the least: the request as a whole, and the parts of its prompt that other requests share.
 */
import type { RequestTraits } from '../types.js'

/** One trait of requests. */
export interface Trait {
  /** Service that got the request; empty for a whole request, which a route may send to another service at any time. */
  service: string
  /** Id of a part of prompts, or the fingerprint of a whole request behind a prefix that no part has. */
  part: string
}

/** Precedes the fingerprint of a whole request; ids of parts have hexadecimal digits only. */
const WHOLE_PREFIX = 'request:'

/** The trait that only repeats of a request share. */
const wholeRequestOf = ({ fingerprint }: Pick<RequestTraits, 'fingerprint'>): Trait => ({ service: '', part: `${WHOLE_PREFIX}${fingerprint}` })

/** Whether a trait is a whole request. */
export const isWholeRequest = ({ part }: Pick<Trait, 'part'>): boolean => part.startsWith(WHOLE_PREFIX)

/** Fingerprint of a whole request. */
export const fingerprintOf = ({ part }: Pick<Trait, 'part'>): string => part.slice(WHOLE_PREFIX.length)

/** Traits of a request, the whole first. The last part of its prompt belongs to the request itself, so it is in the whole only. */
export function listTraits (request: RequestTraits): Trait[] {
  const { service, promptParts } = request
  return [wholeRequestOf(request), ...[...new Set(promptParts.slice(0, -1))].map(part => ({ service, part }))]
}

/** Key of a trait. */
export const traitKey = ({ service, part }: Trait): string => `${service} ${part}`
