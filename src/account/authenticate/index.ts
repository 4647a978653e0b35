/**
 * From an authorization header to the account or operator that presented it. A token reads
 * `<name>.<secret>`, so that one hash decides it however many accounts there are.
 */
import { matchesToken } from '../hashToken/index.js'

/** What a token is checked against. */
export interface TokenHolder {
  name: string
  tokenHash: string
}

/**
 * @name authenticate
 * @summary The holder of the bearer token in a header.
 * @param header - Value of the `Authorization` header.
 * @param options - `find`, the look-up of holders by name.
 * @returns The holder, or nothing for a missing or wrong token.
 *
 * @example
 * const account = authenticate(request.headers.authorization, { find: name => accounts.get(name) })
 */
export function authenticate<T extends TokenHolder> (
  header: string | undefined,
  options: { find: (name: string) => T | undefined }
): T | undefined {
  const token = /^Bearer ([^\s]+)$/i.exec(header ?? '')?.[1]
  if (token === undefined) return undefined
  const at = token.indexOf('.')
  if (at < 1) return undefined
  const holder = options.find(token.slice(0, at))
  if (holder === undefined) return undefined
  return matchesToken(token.slice(at + 1), holder.tokenHash) ? holder : undefined
}
