import test from 'ava'
import { createEngineFleet } from '../../../test/fakes/createEngineFleet.js'
import { createManualRuntime } from '../../../test/fakes/createManualRuntime.js'
import type { Daemon } from '../../daemon/types.js'
import { pollEngines } from './index.js'

const TARGETS = ['a', 'b', 'c', 'd', 'e']

test('control daemons divide the engines among them, and a leaving one is noted within three seconds', async t => {
  const runtime = createManualRuntime()
  const controller = new AbortController()
  t.teardown(() => controller.abort())
  const fleet = createEngineFleet(TARGETS, { checksFencing: true })
  const leavingTargets: string[] = []
  const polledTargets: string[] = []
  const members = ['host-1', 'host-2'].map(host => ({ host, role: 'control' }))
  const placement = TARGETS.map(target => ({ target, fromLayer: 0, toLayer: 1 }))
  for (const self of members) {
    const daemon = {
      runtime,
      signal: controller.signal,
      table: { self: () => self, live: () => [...members, { host: 'host-1', role: 'entry' }] },
      holder: { current: () => ({ models: new Map([['m', { placement }]]) }) },
      directory: { address: (target: string) => target, condition: () => 'usable', markLeaving: (target: string) => leavingTargets.push(target) }
    } as unknown as Daemon
    const engines = {
      status: async (endpoint: { target: string, address: string }, options: { timeoutMs: number }) => {
        polledTargets.push(endpoint.target)
        return await fleet.status(endpoint, options)
      }
    }
    pollEngines({ daemon, engines }).catch(t.fail)
  }
  await runtime.settle()
  t.deepEqual([...polledTargets].sort(), TARGETS)
  fleet.statuses.get('c')!.leaving = true
  await runtime.advance(3_000)
  t.true(leavingTargets.includes('c'))
  t.deepEqual(new Set(leavingTargets), new Set(['c']))
})
