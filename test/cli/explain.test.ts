import { readFile } from 'node:fs/promises'
import { Cli } from 'clipanion'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { ExplainCommand } from '../../src/cli/commands/read.js'

/** Log lines of a benchmark run; docs/OPERATIONS.md shows their explanation. */
const LOG = 'examples/logs/broken-off.log'
const REQUEST = '15a845f4d0aff851'

async function run (...args: string[]): Promise<{ code: number, out: string, errors: string }> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()]
  const code = await Cli.from([ExplainCommand]).run(['explain', ...args], { stdin: process.stdin, stdout, stderr, env: {} })
  return { code, out: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') }
}

test('a call is explained from logs alone, as the operators\' page shows it', async t => {
  const { code, out } = await run(REQUEST, LOG)
  t.is(code, 0)
  const page = await readFile('docs/OPERATIONS.md', 'utf8')
  for (const line of out.trim().split('\n').slice(0, 2)) t.true(page.includes(line), line)
  t.regex(out, /target is leaving/)
})

test('the explanation is printed as JSON with --json', async t => {
  const { out } = await run('--json', REQUEST, LOG)
  t.like(JSON.parse(out), { request: REQUEST, outcome: 'failed' })
})

test('a call without events is reported as unknown', async t => {
  const { code, errors } = await run('r-0', LOG)
  t.deepEqual([code, errors], [1, 'no event with request id r-0\n'])
})
