import test from 'ava'
import { fingerprintRequest, type RequestContent } from './index.js'

const CONTENT: RequestContent = { method: 'POST', host: 'studio.example', path: '/orders/?id=7', account: 'studio', promptParts: ['5c1e', '77'], body: Buffer.from('body') }

test('repeats of a request have one fingerprint', t => {
  t.is(fingerprintRequest({ ...CONTENT, host: 'Studio.Example', body: Buffer.from('body') }), fingerprintRequest(CONTENT))
  t.regex(fingerprintRequest(CONTENT), /^[\da-f]{32}$/)
})

test('a request that differs in anything has another fingerprint', t => {
  const differences: Array<Partial<RequestContent>> = [
    { method: 'GET' }, { host: 'other.example' }, { path: '/orders/?id=8' }, { account: 'other' }, { account: undefined }, { promptParts: ['5c1e', '78'] }, { promptParts: [] }, { body: Buffer.from('bodx') }, { body: Buffer.alloc(0) }
  ]
  const fingerprints = [{}, ...differences].map(difference => fingerprintRequest({ ...CONTENT, ...difference }))
  t.is(new Set(fingerprints).size, fingerprints.length)
})
