import { PassThrough } from 'node:stream'
import { Cli } from 'clipanion'
import test from 'ava'
import { WhereCommand } from '../../src/cli/commands/where.js'
import type { ExplainedService } from '../../src/gateway/_lib/explainPlace.js'
import { explainPlace } from '../../src/gateway/_lib/explainPlace.js'
import { createInternalHandler } from '../../src/gateway/_lib/internalPort.js'
import { listen } from '../../src/http/listen/index.js'
import { buildAnswer, buildStreamHead, encodeEvents, servePlatformEngine, STREAM_END } from '../../standin/platform/servePlatformEngine/index.js'
import { buildEngine, TEST_MODEL } from '../fakes/buildFleet.js'
import { startTestGateway, TEST_CONFIGURATION } from '../fakes/startTestGateway.js'

/** A gateway with two pipelines in front of one stand-in, its internal port, and the command that asks there. */
async function startWhere (options: Parameters<typeof startTestGateway>[1] = {}) {
  const standin = await servePlatformEngine((request, socket) => request.headers['hop-count'] === undefined ? socket.end(buildAnswer(request, 'done')) : socket.end(buildStreamHead(request) + encodeEvents([1, 2]) + STREAM_END))
  const engine = (id: string, from: number, to: number, failureDomain = 'north') => ({ ...buildEngine(id, failureDomain, 'large', { from, to }), address: standin.address })
  const gateway = await startTestGateway([engine('a-1', 0, 40), engine('a-2', 40, 80), engine('b-1', 0, 40, 'south'), engine('b-2', 40, 80, 'south'), { ...engine('o-1', 0, 1), service: 'orders' }], options)
  const { fleet, metrics, runtime } = gateway.parts
  const server = await listen(createInternalHandler({ fleet, metrics, runtime, updateMetrics: () => {}, explainPlace: query => explainPlace(query, 'north', gateway.parts) }), { address: '127.0.0.1', port: 0 })
  return {
    gateway,
    standin,
    async where (...args: string[]): Promise<{ code: number, out: string, errors: string }> {
      const [stdout, stderr] = [new PassThrough(), new PassThrough()]
      const code = await Cli.from([WhereCommand]).run(['where', '--gateway', server.address, ...args], { stdin: process.stdin, stdout, stderr, env: {} })
      return { code, out: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') }
    },
    async [Symbol.asyncDispose] () {
      await server[Symbol.asyncDispose]()
      await gateway[Symbol.asyncDispose]()
      await standin[Symbol.asyncDispose]()
    }
  }
}

const servicesOf = (out: string): ExplainedService[] => JSON.parse(out).services

test('the path of a request is named with its expected size, and the request then goes there', async t => {
  await using host = await startWhere()
  const { code, out } = await host.where('--route', 'stream', '--account', 'studio', '--prompt-tokens', '100', '--hint', '74', '--json')
  t.is(code, 0)
  const [explained] = servicesOf(out)
  t.like(explained, { outcome: 'placed', expected: { promptTokens: 100, outputTokens: 124, answers: 0 } })
  t.deepEqual(explained!.path!.map(({ target }) => target), ['a-1', 'a-2'])
  t.true(explained!.firstEventMs! > 0)
  t.is((await host.gateway.send('/stream/x')).status, 200)
  t.regex(host.standin.received[0]!.headers['expect-instance']!, /^a-1$/)
})

test('nothing is sent, reserved, counted or learned', async t => {
  const configuration = { ...TEST_CONFIGURATION, services: [{ name: 'orders' }, { name: 'model', model: { ...TEST_MODEL, tokensPerEvent: 3 } }] }
  await using host = await startWhere({ configuration })
  const before = await host.where('--route', 'stream', '--json')
  for (let question = 0; question < 5; question++) await host.where('--route', 'stream', '--hint', '40')
  await host.where('--route', 'safe')
  t.is((await host.where('--route', 'stream', '--json')).out, before.out)
  t.is(host.standin.received.length, 0)
  t.is(host.gateway.parts.loadTracker.sumWith([]).size, 0)
  t.notRegex(await host.gateway.parts.metrics.registry.metrics(), /calls_total\{/)
  t.is(host.gateway.parts.log.recent().length, 0)
})

test('what excludes a target is named', async t => {
  await using host = await startWhere()
  host.gateway.parts.suspicions.note('a-2', 'unreachable')
  const [explained] = servicesOf((await host.where('--route', 'stream', '--json')).out)
  t.deepEqual(explained!.path!.map(({ target }) => target), ['b-1', 'b-2'])
  t.regex(explained!.candidates.find(({ target }) => target === 'a-2')!.excluded!, /unreachable/)
  const { out } = await host.where('--route', 'stream', '--prompt-tokens', '100000000')
  t.regex(out, /waits, no path has room/)
  t.regex(out, /excluded: no memory/)
})

test('a plain route names its target', async t => {
  await using host = await startWhere()
  const { code, out } = await host.where('--route', 'safe')
  t.is(code, 0)
  t.regex(out, /orders \(100% of the route\): placed/)
  t.regex(out, /goes to o-1/)
})

test('an unknown route or account, a malformed part or figure, and a host that is not ready are errors that name it', async t => {
  await using host = await startWhere()
  await using unready = await startWhere({ configuration: undefined as never })
  t.deepEqual(await host.where('--route', 'nowhere'), { code: 1, out: '', errors: 'unknown route nowhere\n' })
  t.deepEqual(await host.where('--route', 'stream', '--account', 'nobody'), { code: 1, out: '', errors: 'unknown account nobody\n' })
  t.like(await host.where('--route', 'stream', '--parts', '5c1e,no part'), { code: 1, errors: 'parts.1: expected ids in hexadecimal, separated by commas\n' })
  const figure = await host.where('--route', 'stream', '--hint', 'many')
  t.is(figure.code, 1)
  t.regex(figure.errors, /^hint: /)
  const early = await unready.where('--route', 'stream')
  t.is(early.code, 1)
  t.regex(early.errors, /not ready/)
})

test('a gateway that cannot be reached is told apart from one that refuses', async t => {
  const stderr = new PassThrough()
  t.is(await Cli.from([WhereCommand]).run(['where', '--gateway', '127.0.0.1:1', '--route', 'stream'], { stdin: process.stdin, stdout: new PassThrough(), stderr, env: {} }), 3)
})
