import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { Cli } from 'clipanion'
import test from 'ava'
import { PlatformCheckCommand } from '../../platform/checkCommand.js'

const SETTINGS = {
  node_name: 'entry-1',
  ip: '10.1.0.40',
  zone: 'north',
  listen: { frontend: '10.1.0.40:8227', readiness: '10.1.0.40:8220', control_plane: '10.1.0.40:8229' },
  internal_ports: [7340, 7355],
  seed_nodes: [],
  bounds: { grace_s: 8, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 196 },
  platform: { address: '10.200.1.7:8223' }
}
const CONFIGURATION = { version: 3, routes: [], services: [], limits: { max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4 }, tenants: [] }

async function check (value: unknown, ...options: string[]): Promise<{ code: number, out: string, errors: string, file: string }> {
  const file = join(await mkdtemp(join(tmpdir(), 'check-')), 'file.json')
  await writeFile(file, JSON.stringify(value, null, 2))
  const [stdout, stderr] = [new PassThrough(), new PassThrough()]
  const code = await Cli.from([PlatformCheckCommand]).run(['check', ...options, file], { stdin: process.stdin, stdout, stderr, env: {} })
  return { code, out: String(stdout.read() ?? ''), errors: String(stderr.read() ?? ''), file }
}

test('valid settings and configurations are reported as ok', async t => {
  for (const value of [SETTINGS, CONFIGURATION]) {
    const { code, out, file } = await check(value)
    t.deepEqual([code, out], [0, `${file}: ok\n`])
  }
})

test('faults are reported with file, line and field', async t => {
  const settings = await check({ ...SETTINGS, listen: { ...SETTINGS.listen, readiness: 'any' } })
  t.is(settings.code, 1)
  t.true(settings.errors.startsWith(`${settings.file}:7: listen.readiness: `), settings.errors)
  const configuration = await check({ ...CONFIGURATION, limits: { ...CONFIGURATION.limits, max_body_bytes: 'much' } }, '--json')
  t.is(configuration.code, 1)
  t.like(JSON.parse(configuration.out), { faults: [{ field: 'limits.max_body_bytes' }] })
})
