/**
 * Finds the account or operator that an authorization header belongs to. A token has the form
 * `<name>.<secret>`, so that checking it takes a single hash, however many accounts there are.
 */
import { matchesToken } from '../hashToken/index.js'

/** An account or operator that a token is issued to. */
export interface TokenHolder {
  name: string
  /** Salted hash of the token's secret part; see `hashToken`. */
  tokenHash: string
}

/**
 * @name authenticate
 * @summary Finds the holder of the bearer token in a header.
 * @param header - Value of the `Authorization` header.
 * @param options - `find`, which returns the holder with a name.
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
  const separatorIndex = token.indexOf('.')
  if (separatorIndex < 1) return undefined
  const holder = options.find(token.slice(0, separatorIndex))
  if (holder === undefined) return undefined
  return matchesToken(token.slice(separatorIndex + 1), holder.tokenHash) ? holder : undefined
}
