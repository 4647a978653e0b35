import test from 'ava'
import { isTooLateToBegin } from './index.js'

test('a request that would be cut is too late only if another host can serve it', t => {
  const outlook = { graceLeftMs: 4_800, expectedMs: 4_801, isOtherHostReady: true }
  t.true(isTooLateToBegin(outlook))
  t.false(isTooLateToBegin({ ...outlook, expectedMs: 4_800 }))
  t.false(isTooLateToBegin({ ...outlook, expectedMs: undefined }))
  t.false(isTooLateToBegin({ ...outlook, graceLeftMs: undefined }))
  t.false(isTooLateToBegin({ ...outlook, isOtherHostReady: false }))
})
