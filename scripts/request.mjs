/**
 * One HTTP call for scripts: node scripts/request.mjs METHOD URL TOKEN [BODY] [IDEMPOTENCY_KEY].
 * Prints the request id and the verdict, where the answer has them, on the first line and the body
 * after it. Exits with code 1 if the status is 400 or more.
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
