/**
 * Salted hashes of bearer tokens. The secrets are long and random, so one round of SHA-256 is enough.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/**
 * @name hashToken
 * @summary Computes the salted hash by which configuration and settings store a token.
 * @param secret - The secret part of the token.
 * @param salt - Random salt in hexadecimal, at least 8 bytes.
 * @returns `sha256:<salt>:<hash>`.
 *
 * @example
 * hashToken('secret', '00112233445566778899aabbccddeeff')
 */
export function hashToken (secret: string, salt: string): string {
  const hash = createHash('sha256').update(Buffer.from(salt, 'hex')).update(secret).digest('hex')
  return `sha256:${salt}:${hash}`
}

/**
 * @name matchesToken
 * @summary Checks in constant time whether a secret has the given salted hash.
 * @param secret - The secret as presented.
 * @param tokenHash - The stored hash, as returned by `hashToken`.
 * @returns Whether they match.
 *
 * @example
 * matchesToken('secret', hashToken('secret', salt)) // true
 */
export function matchesToken (secret: string, tokenHash: string): boolean {
  const [, salt = ''] = tokenHash.split(':')
  const expected = Buffer.from(tokenHash)
  const presented = Buffer.from(hashToken(secret, salt))
  return expected.length === presented.length && timingSafeEqual(expected, presented)
}
