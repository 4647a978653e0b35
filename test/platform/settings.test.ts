import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { readPlatformSettings } from '../../platform/settings.js'

const FILE = {
  node_name: 'entry-1',
  ip: '10.1.0.40',
  zone: 'north',
  listen: { frontend: '10.1.0.40:8227', readiness: '10.1.0.40:8220', control_plane: '10.1.0.40:8229' },
  internal_ports: [7340, 7355],
  seed_nodes: ['10.1.0.41:8229'],
  bounds: { grace_s: 8, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 196 },
  platform: { address: '10.200.1.7:8223' }
}

async function read (content: string) {
  const folder = await mkdtemp(join(tmpdir(), 'settings-'))
  const file = join(folder, 'local.json')
  await writeFile(file, content)
  const result = readPlatformSettings(file)
  await rm(folder, { recursive: true })
  return result
}

test('the settings file is converted, and unknown fields are ignored', async t => {
  const result = await read(JSON.stringify({ ...FILE, later: true }))
  t.is(result.kind, 'valid')
  if (result.kind === 'valid') {
    t.like(result.settings, {
      host: 'entry-1', failureDomain: 'north', callerAddress: { address: '10.1.0.40', port: 8227 }, seedIps: ['10.1.0.41'], retryWindowMs: 10_000, graceMs: 8_000, digestPort: 7340
    })
  }
})

test('an address with a port that does not exist is reported', async t => {
  for (const port of ['99999', '65536']) {
    const result = await read(JSON.stringify({ ...FILE, listen: { ...FILE.listen, frontend: `10.1.0.40:${port}` } }))
    t.deepEqual(result.kind === 'invalid' ? result.faults : result, ['listen.frontend: expected IP:PORT'])
  }
})

test('missing and wrong fields are reported', async t => {
  const { ip, ...rest } = FILE
  const result = await read(JSON.stringify({ ...rest, listen: { ...FILE.listen, frontend: 8227 } }))
  t.is(result.kind, 'invalid')
  if (result.kind === 'invalid') t.deepEqual(result.faults.map(fault => fault.split(':')[0]), ['ip', 'listen.frontend'])
})

test('a missing file or one that is not JSON is reported', async t => {
  t.is((await read('{')).kind, 'invalid')
  t.is(readPlatformSettings('/nowhere/local.json').kind, 'invalid')
})
