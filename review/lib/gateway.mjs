// Starts the project's gateway as the deploy file says, with settings like those of a small deployment.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sleep } from './platform.mjs'

const PORTS = { frontend: 8227, readiness: 8220, control: 8229, metrics: 9464 }
const ROOT = new URL('../../', import.meta.url).pathname
const [, runLine] = /\[roles\.gateway\]\s*\nrun = "([^"]+)"/.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))

/** Bounds of `sites/wrapstudio-cardiff.toml`, as SYSTEM.md lists them. */
export const BOUNDS = { seed_lag_s: 3, addr_reuse_s: 2, stability_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 196, recovery_s: 12, pass_ms: 120, retry_after_s: 0, stall_ms: 2500, fence_required: false }
export const MEMORY_MB = 350

export const folder = mkdtempSync(join(tmpdir(), 'review-'))
export const removeFolder = () => rmSync(folder, { recursive: true, force: true })

/** Longest time of a case, in milliseconds. */
const MAX_RUN_MS = 110_000

const children = new Set()
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
  removeFolder()
})
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2))
setTimeout(() => {
  console.error('the case took too long')
  process.exit(2)
}, MAX_RUN_MS).unref()

/** Loopback addresses on which the gateway's ports are free. */
export async function freeIps (count) {
  const ips = []
  for (let tries = 0; ips.length < count && tries < 500; tries++) {
    const ip = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    const free = await Promise.all(Object.values(PORTS).map(port => new Promise(resolve => {
      const server = net.createServer().once('error', () => resolve(false)).listen(port, ip, () => server.close(() => resolve(true)))
    })))
    if (free.every(Boolean) && !ips.includes(ip)) ips.push(ip)
  }
  return ips
}

export function startGateway ({ name, ip, zone, zones, seedIps, storeAddress }) {
  const file = join(folder, `${name}.json`)
  writeFileSync(file, JSON.stringify({
    node_name: name,
    role: 'gateway',
    machine_class: 'frontend',
    serves: ['frontend', 'control'],
    ip,
    zone,
    region: 'r',
    zones: Object.fromEntries(zones.map(z => [z, 'r'])),
    listen: { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}`, control_plane: `${ip}:${PORTS.control}` },
    internal_ports: [7340, 7355],
    seed_nodes: seedIps.map(seed => `${seed}:${PORTS.control}`),
    bootstrap: true,
    counts_as_loss: false,
    limits: { cpu_share: 0.675, cpu_cores: 1, memory_mb: MEMORY_MB, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0 },
    data_dir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeat_ms: 1200,
    contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'layers'],
    fault_tolerance: { machines: 2, zones: 0, regions: 0 },
    bounds: BOUNDS,
    platform: { address: storeAddress, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000 }
  }))
  const log = openSync(join(folder, `${name}.log`), 'a')
  const [program, ...args] = runLine.split(' ')
  const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/', LANG: 'C.UTF-8', COLTSFOOTLEAD_NODE_FILE: file }, stdio: ['ignore', log, log] })
  closeSync(log)
  children.add(child)
  const exited = once(child, 'exit').then(() => children.delete(child))
  return {
    name,
    ip,
    pid: child.pid,
    host: ip,
    port: PORTS.frontend,
    log: () => readFileSync(join(folder, `${name}.log`), 'utf8'),
    hasEnded: () => !children.has(child),
    signal: signal => child.kill(signal),
    isReady: () => new Promise(resolve => {
      const request = http.get({ host: ip, port: PORTS.readiness, path: '/ready', agent: false, timeout: 500 }, response => { response.resume(); resolve(response.statusCode === 200) })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    }),
    metrics: () => new Promise(resolve => {
      const request = http.get({ host: ip, port: PORTS.metrics, path: '/metrics', agent: false, timeout: 500 }, async response => { let text = ''; for await (const chunk of response) text += chunk; resolve(text) })
      request.on('error', () => resolve(''))
    }),
    /** Memory of the process as the platform counts it, in MB. */
    memoryMb: () => {
      try { return Number(/^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))[1]) / 1024 } catch { return 0 }
    },
    async stop () { child.kill('SIGKILL'); await exited }
  }
}

export async function waitReady (gateways, timeoutMs = 20_000) {
  const until = Date.now() + timeoutMs
  while (Date.now() < until) {
    if ((await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean)) return true
    await sleep(100)
  }
  return false
}
