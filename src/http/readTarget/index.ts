/**
 * Request targets as callers send them, which may be anything.
 */

/** Base of targets in origin form. */
const BASE = 'http://host'

/**
 * @name readTarget
 * @summary Path and query of a request target in origin form.
 * @param target - The target of the request line.
 * @returns The URL, or nothing for any other form and for broken escapes in the path.
 *
 * @example
 * readTarget('/v1/completions?x=1')?.pathname // '/v1/completions'
 */
export function readTarget (target: string | undefined): URL | undefined {
  if (target === undefined || !target.startsWith('/') || !URL.canParse(BASE + target)) return undefined
  const url = new URL(BASE + target)
  try {
    decodeURIComponent(url.pathname)
  } catch {
    return undefined
  }
  return url
}
