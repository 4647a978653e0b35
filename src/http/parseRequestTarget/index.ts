/**
 * Parsing of HTTP request targets, which may be malformed.
 */

/** Placeholder origin that completes a request target to a URL. */
const BASE = 'http://host'

/**
 * @name parseRequestTarget
 * @summary Parses a request target in origin form (path and query).
 * @param target - The target of the request line.
 * @returns The URL, or `undefined` for any other form and for invalid percent-encoding in the path.
 *
 * @example
 * parseRequestTarget('/v1/completions?x=1')?.pathname // '/v1/completions'
 */
export function parseRequestTarget (target: string | undefined): URL | undefined {
  if (target === undefined || !target.startsWith('/') || !URL.canParse(BASE + target)) return undefined
  const url = new URL(BASE + target)
  try {
    decodeURIComponent(url.pathname)
  } catch {
    return undefined
  }
  return url
}
