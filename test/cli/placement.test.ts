import { PassThrough } from 'node:stream'
import test from 'ava'
import { Cli } from 'clipanion'
import { PlacementCommand } from '../../src/cli/commands/placement.js'
import { createFleetState } from '../../src/fleet/createFleetState/index.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { createInternalHandler } from '../../src/gateway/_lib/internalPort.js'
import { listen } from '../../src/http/listen/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildEngine, TEST_MODEL } from '../fakes/buildFleet.js'
import { TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** Runs `coltsfootlead placement`; resolves to its exit code and its output. */
async function showPlacement (gateway: string): Promise<{ code: number, output: string }> {
  const stdout = new PassThrough()
  const cli = new Cli({ binaryName: 'coltsfootlead' })
  cli.register(PlacementCommand)
  const code = await cli.run(['placement', '--gateway', gateway], { ...Cli.defaultContext, stdout, stderr: stdout })
  return { code, output: String(stdout.read()) }
}

test('placement shows what a gateway knows of ranges, holders and empty engines', async t => {
  const runtime = createSystemRuntime()
  const fleet = createFleetState({ runtime })
  fleet.applyConfiguration({ ...TEST_CONFIGURATION, services: [{ name: 'model', model: TEST_MODEL }] })
  fleet.applySnapshot({ revision: 1, targets: [buildEngine('a', 'north', 'large', { from: 0, to: 30 }), buildEngine('b', 'north', 'large', { from: 0, to: 30 }), buildEngine('c', 'north', 'small')] })
  await using server = await listen(createInternalHandler({ fleet, metrics: createGatewayMetrics(), runtime, updateMetrics: () => {} }), { address: '127.0.0.1', port: 0 })
  const { code, output } = await showPlacement(server.address)
  t.is(code, 0)
  t.is(output, 'model in north: 0 requests/s, narrowest at layers 30-80; engines: 2 holding, 1 empty\n  layers 0-30: 2 large\n')
})

test('placement says that a gateway does not answer', async t => {
  const { code, output } = await showPlacement('127.0.0.1:1')
  t.is(code, 3)
  t.regex(output, /^127\.0\.0\.1:1: /)
})
