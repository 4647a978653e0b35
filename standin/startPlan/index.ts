/**
 * Starts all stand-ins of a plan in this process.
 */
import { request } from 'undici'
import type { ListedHost } from '../../src/hostList/types.js'
import { createResourceStack } from '../../src/runtime/createResourceStack/index.js'
import { serveEngine } from '../engine/serveEngine/index.js'
import { serveHostList } from '../hostList/serveHostList/index.js'
import { createMemoryObjectStore } from '../objectApi/createMemoryObjectStore/index.js'
import { serveObjectApi } from '../objectApi/serveObjectApi/index.js'
import type { Plan } from '../plan/index.js'
import { serveService } from '../service/serveService/index.js'

/** Addresses of the stand-ins that were started. */
export interface StartedPlan extends AsyncDisposable {
  objectApiUrl?: string
  hostListUrl?: string
  /** `ip:port` by the name of the engine or service. */
  targets: Record<string, string>
}

/**
 * @name startPlan
 * @summary Starts the stand-ins of a plan.
 * @param plan - Which stand-ins to start, and where they listen.
 * @returns Their addresses; disposal stops them.
 *
 * @example
 * await using started = await startPlan(planSchema.parse({ objectApi: {} }))
 */
export async function startPlan (plan: Plan): Promise<StartedPlan> {
  const resources = createResourceStack()
  const { address } = plan
  const hosts: ListedHost[] = []
  for (const { name, failureDomain, ...engine } of plan.engines) {
    const served = resources.use(await serveEngine({ target: name, address, port: 0, ...engine }))
    hosts.push({ name, failureDomain, address: served.address, state: 'live' })
  }
  for (const { name, failureDomain } of plan.services) {
    const served = resources.use(await serveService({ address, port: 0 }))
    hosts.push({ name, failureDomain, address: served.address, state: 'live' })
  }
  const started: StartedPlan = {
    targets: Object.fromEntries(hosts.map(host => [host.name, host.address])),
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]()
  }
  if (plan.objectApi !== undefined) {
    const served = resources.use(await serveObjectApi(createMemoryObjectStore(), { address, ...plan.objectApi }))
    started.objectApiUrl = `http://${served.address}`
  }
  if (plan.hostList !== undefined) {
    const served = resources.use(await serveHostList(hosts, { address, ...plan.hostList }))
    started.hostListUrl = `http://${served.address}`
  }
  if (plan.joinHostList !== undefined) {
    for (const host of hosts) await request(`${plan.joinHostList}/hosts/${host.name}`, { method: 'PUT', body: JSON.stringify(host) })
  }
  return started
}
