/**
 * Starts gateways with the command of the deploy file, each on a loopback address of its own, with
 * settings like those of the sheet of wrapstudio-cardiff.
 */
import { spawn } from 'node:child_process'
import http from 'node:http'
import net from 'node:net'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
export const BOUNDS = { seed_lag_s: 3, addr_reuse_s: 2, stability_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 196, recovery_s: 12, pass_ms: 120, retry_after_s: 0, stall_ms: 2500, fence_required: false }
const ZONES = { 'cardiff-a': 'wales-south', 'newport-b': 'wales-south', 'swansea-c': 'wales-south' }

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** A temporary folder that is removed at the end. */
export function makeFolder () {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  return { folder, remove: () => rmSync(folder, { recursive: true, force: true }) }
}

/** Port of the metrics, which the gateway takes on its own address. */
const METRICS_PORT = 9464
const INTERNAL_PORTS = [7340, 7355]

const isFree = (host, port) => new Promise(resolve => {
  const server = net.createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** A port that is free on an address. */
export const findFreePort = host => new Promise((resolve, reject) => {
  const server = net.createServer()
  server.once('error', reject)
  server.listen(0, host, () => { const { port } = server.address(); server.close(() => resolve(port)) })
})

/** The first three numbers of loopback addresses that nothing uses: each run has its own. */
export async function pickNetwork () {
  for (;;) {
    const network = `127.${2 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    if (await isFree(`${network}.1`, METRICS_PORT) && await isFree(`${network}.1`, INTERNAL_PORTS[0])) return network
  }
}

/** Starts `count` gateways on addresses of a network and waits until all say that they are ready. */
export async function startGateways ({ count, storeAddress, folder }) {
  const zones = Object.keys(ZONES)
  const network = await pickNetwork()
  const ips = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`)
  // Ports are the same on all machines of a day.
  const ports = { frontend: await findFreePort(ips[0]), readiness: await findFreePort(ips[0]), control_plane: await findFreePort(ips[0]) }
  const gateways = ips.map((ip, index) => {
    const file = join(folder, `gateway-${index + 1}.json`)
    const zone = zones[index % zones.length]
    writeFileSync(file, JSON.stringify({
      node_name: `frontend-${zone}-${index + 1}`,
      role: 'gateway',
      machine_class: 'frontend',
      serves: ['frontend', 'control'],
      ip,
      zone,
      region: 'wales-south',
      zones: ZONES,
      listen: Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${ip}:${port}`])),
      internal_ports: INTERNAL_PORTS,
      seed_nodes: ips.slice(0, 3).map(seed => `${seed}:${ports.control_plane}`),
      bootstrap: true,
      counts_as_loss: false,
      limits: { cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, max_fds: 4200, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'layers'],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      platform: { address: storeAddress, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000 }
    }))
    const gateway = { ip, file, zone, frontend: { host: ip, port: ports.frontend }, logFile: join(folder, `gateway-${index + 1}.log`), exits: [] }
    gateway.start = () => {
      const log = openSync(gateway.logFile, 'a')
      const child = spawn('node', ['--max-old-space-size=160', 'target/gateway.cjs'], {
        cwd: ROOT, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, COLTSFOOTLEAD_NODE_FILE: file }
      })
      gateway.child = child
      gateway.ended = new Promise(resolve => child.once('exit', (code, signal) => { gateway.exits.push({ code, signal }); resolve() }))
    }
    gateway.isReady = () => new Promise(resolve => {
      const request = http.get({ host: ip, port: ports.readiness, path: '/ready', agent: false, timeout: 500 }, response => { response.resume(); resolve(response.statusCode === 200) })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    })
    gateway.stop = async () => {
      if (gateway.child.exitCode !== null || gateway.child.signalCode !== null) return
      try { gateway.child.kill('SIGCONT'); gateway.child.kill('SIGKILL') } catch {}
      await gateway.ended
    }
    return gateway
  })
  for (const gateway of gateways) gateway.start()
  const untilMs = Date.now() + 15_000
  for (const gateway of gateways) {
    while (!await gateway.isReady()) {
      if (Date.now() > untilMs) throw new Error('gateways are not ready')
      await sleep(100)
    }
  }
  return gateways
}
