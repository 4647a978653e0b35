/**
 * Refusals per second compared with store writes per second, and whether another host can explain
 * a refusal while the refusing host runs and after it was killed.
 */
import http from 'node:http'
import { startDeployment, type Deployment, type StartedProcess } from '../startDeployment/index.js'

/** Concurrent callers, and duration of the load. */
const CALLERS = 32
const RUN_MS = 25_000

/** Number of refusals that are looked up after the load. */
const EXPLAINED_REFUSALS = 200

interface Refusal {
  id: string
  atMs: number
}

/** Sends requests without an access token, which are refused, one after another until `untilMs`. */
async function sendRefusedRequests (address: string, agent: http.Agent, untilMs: number, answers: Refusal[]): Promise<void> {
  while (performance.now() < untilMs) {
    const body = await new Promise<string>((resolve, reject) => {
      const call = http.request(`http://${address}/v1/completions`, { method: 'POST', agent }, response => {
        let text = ''
        response.on('data', chunk => { text += String(chunk) })
        response.on('end', () => resolve(text))
      })
      call.on('error', reject)
      call.end('{}')
    })
    answers.push({ id: (JSON.parse(body) as { instance: string }).instance.split(':').at(-1)!, atMs: performance.now() })
  }
}

async function readWrites (entry: StartedProcess): Promise<number> {
  const text = await (await fetch(`${String(entry.listening.operator)}/metrics`)).text()
  return Number(/^coltsfootlead_store_calls_total\{operation="write"\} (\d+)/m.exec(text)?.[1] ?? 0)
}

async function explain (deployment: Deployment, daemon: StartedProcess, ids: string[]) {
  const outcomes = { found: 0, dropped: 0, unknown: 0 }
  for (const id of ids) {
    const { status, body } = await deployment.operate(daemon, `/v1/explain/${id}`)
    if (status === 200) outcomes.found += 1
    else if (body.facts?.dropped !== undefined) outcomes.dropped += 1
    else outcomes.unknown += 1
  }
  return outcomes
}

/** Picks evenly spaced elements of a list. */
function pickEvenly<T> (list: T[], count: number): T[] {
  return Array.from({ length: Math.min(count, list.length) }, (_, index) => list[Math.floor(index * list.length / count)]!)
}

export async function run () {
  await using deployment = await startDeployment({ entries: 2, controls: 0, plan: {} })
  const [refusing, other] = deployment.entries as [StartedProcess, StartedProcess]
  while ((await fetch(`${String(refusing.listening.operator)}/health/ready`)).status !== 200) await new Promise(resolve => { setTimeout(resolve, 50) })
  const agent = new http.Agent({ keepAlive: true, maxSockets: CALLERS })
  const answers: Refusal[] = []
  const before = await readWrites(refusing)
  const startedMs = performance.now()
  await Promise.all(Array.from({ length: CALLERS }, () => sendRefusedRequests(String(refusing.listening.caller), agent, startedMs + RUN_MS, answers)))
  const seconds = (performance.now() - startedMs) / 1_000
  const writes = await readWrites(refusing) - before
  agent.destroy()
  const ids = pickEvenly(answers, EXPLAINED_REFUSALS).map(({ id }) => id)
  const beforeKill = await explain(deployment, other, ids)
  refusing.child.kill('SIGKILL')
  await refusing.exited
  const afterKill = await explain(deployment, other, ids)
  return {
    refusals: answers.length,
    refusalsPerS: Math.round(answers.length / seconds),
    storeWrites: writes,
    storeWritesPerS: Number((writes / seconds).toFixed(2)),
    asked: ids.length,
    hostAlive: beforeKill,
    hostKilled: afterKill
  }
}
