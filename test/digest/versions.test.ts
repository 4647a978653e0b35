import { readFile } from 'node:fs/promises'
import test from 'ava'
import { z } from 'zod'
import { decodeDigest, encodeDigest, type Digest } from '../../src/digest/types.js'

/** Digests as earlier versions sent them. */
const fixtures = z.array(z.object({ commit: z.string(), isReadable: z.boolean(), base64: z.string() }))
  .parse(JSON.parse(await readFile('test/fixtures/digests.json', 'utf8')))

const readable = fixtures.filter(({ isReadable }) => isReadable).map(({ commit, base64 }) => ({ commit, digest: decodeDigest(Buffer.from(base64, 'base64')) }))

test('digests of earlier versions are read, with defaults for the fields that they lack', t => {
  for (const { commit, digest } of readable) {
    t.like(digest, { host: 'entry-1', configurationVersion: 12, targetsRevision: 345, leaseFencing: 7, hostCount: 2 }, commit)
    t.deepEqual(digest?.notices.leaving, [], commit)
    t.deepEqual(digest?.notices.suspicions, [{ targetId: 'i-1', ageMs: 10, leftMs: 240, isUnfit: false }], commit)
    t.deepEqual(digest?.members, [{ ip: '10.1.0.1', failureDomain: 'north', ageMs: 1_200 }], commit)
  }
})

test('a field that a version did not have yet reads as nothing said', t => {
  const oldest = readable.find(({ commit }) => commit === '6cd466c')!.digest!
  t.deepEqual([oldest.isImpaired, oldest.notices.limits, oldest.crashes], [false, [], { sightings: [], answered: [] }])
})

test('a digest of the format before the tree of hosts is dropped as a whole', t => {
  for (const { base64 } of fixtures.filter(({ isReadable }) => !isReadable)) t.is(decodeDigest(Buffer.from(base64, 'base64')), undefined)
})

test('fields of later versions are passed over', t => {
  const known = readable.at(-1)!.digest!
  const later = { ...known, later: { x: 1 }, notices: { ...known.notices, later: [1] } } as Digest
  t.deepEqual(decodeDigest(encodeDigest(later)), known)
})
