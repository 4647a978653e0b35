/**
 * One HTTP call for scripts: node scripts/request.mjs METHOD URL TOKEN [BODY] [KEY].
 * Prints the request's identity and, where there is one, its verdict on the first line and the body after it; a status of 400 or
 * more ends it with exit code 1.
 */
const [method, url, token, body, key] = process.argv.slice(2)

const response = await fetch(url, {
  method,
  headers: {
    authorization: `Bearer ${token}`,
    'content-type': 'application/json',
    ...(key ? { 'idempotency-key': key } : {})
  },
  ...(body ? { body } : {})
})
const head = [response.headers.get('x-request-id'), response.headers.get('x-verdict')].filter(Boolean).join(' ')
process.stdout.write(`${head}\n${await response.text()}`)
process.exitCode = response.status >= 400 ? 1 : 0
