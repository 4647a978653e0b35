import { Cli } from 'clipanion'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { TimelineCommand } from '../../src/cli/commands/timeline.js'

const line = (request: string, wallMs: number, host: string): string =>
  JSON.stringify({ number: 3200, name: 'gatewayAnswered', text: 'answer of a target forwarded completely', level: 'info', request, wallMs, counter: 0, host, process: 'gateway' })

async function run (...args: string[]): Promise<{ code: number, out: string, errors: string }> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()]
  const code = await Cli.from([TimelineCommand]).run(['timeline', ...args], { stdin: process.stdin, stdout, stderr, env: {} })
  return { code, out: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') }
}

test('log files are read without an operator port, in causal order, for one request', async t => {
  const file = join(await mkdtemp(join(tmpdir(), 'timeline-')), 'log')
  await writeFile(file, `${line('r1', 30, 'b')}\n  12.5 collector ${line('r1', 20, 'a')}\n${line('r2', 10, 'a')}\nplain text\n`)
  const { code, out } = await run('--json', '--request', 'r1', file)
  t.is(code, 0)
  t.deepEqual((JSON.parse(out) as Array<{ host: string }>).map(event => event.host), ['a', 'b'])
})

test('lines that cannot be read are counted', async t => {
  const file = join(await mkdtemp(join(tmpdir(), 'timeline-')), 'log')
  await writeFile(file, `${line('r1', 1, 'a')}\n{"name":\n`)
  const { code, errors } = await run(file)
  t.is(code, 0)
  t.is(errors, '1 lines could not be read\n')
})
