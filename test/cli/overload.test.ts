import { Cli } from 'clipanion'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { OverloadCommand } from '../../src/cli/commands/overload.js'
import { TimelineCommand } from '../../src/cli/commands/timeline.js'

const LINE = JSON.stringify({ number: 3200, name: 'gatewayAnswered', text: '', level: 'info', request: 'r1', wallMs: 9_000, counter: 0, host: 'a', process: 'gateway', route: 'x', status: 200, tookMs: 300 })

async function run (text: string, ...args: string[]): Promise<{ code: number, out: string, errors: string }> {
  const file = join(await mkdtemp(join(tmpdir(), 'overload-')), 'log')
  await writeFile(file, text)
  const [stdout, stderr] = [new PassThrough(), new PassThrough()]
  const code = await Cli.from([TimelineCommand, OverloadCommand]).run(['timeline', 'overload', ...args, file], { stdin: process.stdin, stdout, stderr, env: {} })
  return { code, out: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') }
}

test('objectives are given for all routes or for one', async t => {
  const late = await run(LINE, '--json', '--objective-ms', '200')
  t.is(late.code, 0)
  t.is((JSON.parse(late.out) as { total: { late: number } }).total.late, 1)
  const inTime = await run(LINE, '--json', '--objective-ms', '200', '--objective-ms', 'x=400')
  t.is((JSON.parse(inTime.out) as { total: { inTime: number } }).total.inTime, 1)
})

test('a log cut in the middle gives no table', async t => {
  const { code, out, errors } = await run(`${LINE}\n${LINE.slice(0, 50)}`)
  t.is(code, 1)
  t.is(out, '')
  t.regex(errors, /log:2: ends in the middle/)
})

test('lines of another version, logs without events and bad options are named', async t => {
  t.like(await run(LINE.replace('gatewayAnswered', 'gatewayDelighted')), { code: 1, out: '' })
  t.regex((await run('plain text\n')).errors, /no event/)
  const { code, out } = await run(LINE, '--objective-ms', 'x=soon')
  t.is(code, 1)
  t.regex(out, /--objective-ms x=soon/)
})
