import test from 'ava'
import { buildAnswer, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { countReceived, sendUntil, startServingHosts, startTwoHosts } from '../fakes/startTwoHosts.js'
import { sendCall } from '../fakes/startTestGateway.js'

/** Calls at the cut host of which the first ones may find out that it is cut off. */
const CALLS_TO_KNOW = 10

test('a host that is cut off from all targets serves calls through a peer that reaches them', async t => {
  await using hosts = await startServingHosts()
  hosts.cut(true)
  const send = async (call: number) => (await sendCall(hosts.cutHost.address, call % 2 === 0 ? '/safe/x' : '/unsafe/x', {}, '')).status
  for (let call = 0; call < CALLS_TO_KNOW; call++) await send(call)
  const statuses: number[] = []
  for (let call = 0; call < 20; call++) statuses.push(await send(call))
  t.deepEqual(statuses.filter(status => status !== 200), [])
})

test('a host that is cut off does not keep others from targets that they reach', async t => {
  await using hosts = await startServingHosts()
  hosts.cut(true)
  const statuses: number[] = []
  for (let call = 0; call < 20; call++) {
    await sendCall(hosts.cutHost.address, '/safe/x', {}, '')
    statuses.push((await sendCall(hosts.peer.address, '/safe/x', {}, '')).status)
  }
  t.deepEqual(statuses.filter(status => status !== 200), [])
})

test('a host that is cut off before any digest reached it serves calls through its seeds', async t => {
  await using hosts = await startTwoHosts({ areDigestsLost: true })
  await sendUntil(hosts.peer.address, 200)
  await sendUntil(hosts.cutHost.address, 200)
  hosts.cut(true)
  const statuses: number[] = []
  for (let call = 0; call < 20; call++) {
    const path = call % 2 === 0 ? '/safe/x' : '/unsafe/x'
    statuses.push((await sendCall(hosts.cutHost.address, path, {}, '')).status, (await sendCall(hosts.peer.address, path, {}, '')).status)
  }
  t.deepEqual(statuses.slice(2 * CALLS_TO_KNOW).filter(status => status !== 200), [])
})

/** Turns requests away and asks for a pause that outlasts the test. */
const pausing: EngineScript = (request, socket) => { socket.end(buildAnswer(request, '', { status: '503 Service Unavailable', headers: ['Not-Executed: 1', 'Retry-After: 100'] })) }

test('a peer opens no connection to a target that wants no requests from it', async t => {
  await using hosts = await startServingHosts()
  for (const target of hosts.targets) target.setScript(pausing)
  for (let call = 0; call < 5; call++) await sendCall(hosts.peer.address, '/safe/x', {}, '')
  const before = countReceived(hosts)
  hosts.cut(true)
  for (let call = 0; call < CALLS_TO_KNOW; call++) await sendCall(hosts.cutHost.address, '/safe/x', {}, '')
  t.is(countReceived(hosts) - before, 0)
})

test('a pause that a target asks for through a peer binds the peer', async t => {
  await using hosts = await startServingHosts()
  hosts.cut(true)
  for (let call = 0; call < CALLS_TO_KNOW; call++) await sendCall(hosts.cutHost.address, '/safe/x', {}, '')
  for (const target of hosts.targets) target.setScript(pausing)
  for (let call = 0; call < CALLS_TO_KNOW; call++) await sendCall(hosts.cutHost.address, '/safe/x', {}, '')
  const before = countReceived(hosts)
  for (let call = 0; call < 5; call++) await sendCall(hosts.peer.address, '/safe/x', {}, '')
  t.is(countReceived(hosts) - before, 0)
})

test('a target that says through a peer that it leaves gets no more calls of the peer', async t => {
  await using hosts = await startServingHosts()
  hosts.cut(true)
  for (let call = 0; call < CALLS_TO_KNOW; call++) await sendCall(hosts.cutHost.address, '/safe/x', {}, '')
  for (const target of hosts.targets) target.setScript((request, socket) => { socket.end(buildAnswer(request, 'done', { headers: ['Server-Leaving: 1'] })) })
  for (let call = 0; call < CALLS_TO_KNOW; call++) await sendCall(hosts.cutHost.address, '/safe/x', {}, '')
  const before = countReceived(hosts)
  for (let call = 0; call < 5; call++) await sendCall(hosts.peer.address, '/safe/x', {}, '')
  t.is(countReceived(hosts) - before, 0)
})
