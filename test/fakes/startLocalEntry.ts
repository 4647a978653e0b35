/**
 * An entry daemon in this process in front of stand-ins on the loopback interface, with one ticket
 * in force.
 */
import { request } from 'undici'
import { hashToken } from '../../src/account/hashToken/index.js'
import { startEntry } from '../../src/entry/startEntry/index.js'
import { createHttpObjectStore } from '../../src/objectApi/createHttpObjectStore/index.js'
import { createResourceStack } from '../../src/runtime/createResourceStack/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import type { Runtime } from '../../src/runtime/types.js'
import { daemonSettingsSchema } from '../../src/settings/types.js'
import { submitTicket } from '../../src/ticket/submitTicket/index.js'
import { planSchema } from '../../standin/plan/index.js'
import { startPlan } from '../../standin/startPlan/index.js'
import { createTestLog } from './createTestLog.js'

const SALT = '00112233445566778899aabbccddeeff'
const TOKEN_HASH = hashToken('secret', SALT)

/** Headers with the tokens of the only account and the only operator. */
export const ACCOUNT_HEADERS = { authorization: 'Bearer shop.secret' }
export const OPERATOR_HEADERS = { authorization: 'Bearer ana.secret' }

/** Longer than any test, and unlike every other delay: it identifies the timer that waits for the balancer. */
const BALANCER_LAG_MS = 86_400_000

const SCOPES = {
  'targets/all': { targets: [{ name: 'engine-1', host: 'engine-1', kind: 'engine' }, { name: 'orders-1', host: 'orders-1', kind: 'service' }] },
  'models/draft': { layers: 2, version: '1', placement: [{ target: 'engine-1', fromLayer: 0, toLayer: 2 }], deadlines: { firstTokenMs: 60_000, betweenTokensMs: 60_000 } },
  'services/orders': { targets: ['orders-1'], calls: [{ method: 'POST', pathPrefix: '/orders', repeatable: false }], timeoutMs: 60_000, statusPath: '/orders/{key}' },
  'accounts/all': { accounts: [{ name: 'shop', tokenHash: TOKEN_HASH }] }
}

/** Starts the entry and resolves once the ticket is in force on it. */
export async function startLocalEntry (settings: Record<string, unknown> = {}) {
  const resources = createResourceStack()
  const system = createSystemRuntime()
  let endBalancerLag = (): void => {}
  const runtime: Runtime = {
    ...system,
    setTimer (delayMs, run) {
      if (delayMs === BALANCER_LAG_MS) endBalancerLag = run
      return system.setTimer(delayMs, run)
    }
  }
  const plan = planSchema.parse({
    objectApi: {},
    hostList: {},
    engines: [{ name: 'engine-1', model: 'draft', version: '1', toLayer: 2, stepMs: 4 }],
    services: [{ name: 'orders-1' }]
  })
  const standins = resources.use(await startPlan(plan))
  const url = standins.objectApiUrl!
  const store = resources.use(createHttpObjectStore({ url, callTimeoutMs: 2_000, watchWaitMs: 5_000, runtime }))
  await submitTicket({ number: 1, scopes: SCOPES }, { store, runtime, log: createTestLog(), operator: 'ana' })
  const entry = resources.use(await startEntry(daemonSettingsSchema.parse({
    host: 'host-1',
    failureDomain: 'a',
    address: '127.0.0.1',
    objectApi: { url },
    hostList: { url: standins.hostListUrl, pollMs: 20 },
    operators: [{ name: 'ana', tokenHash: TOKEN_HASH }],
    log: { level: 'error' },
    shutdown: { balancerLagMs: BALANCER_LAG_MS },
    ...settings
  }), { runtime }))
  while (!entry.daemon.holder.isReady() || entry.daemon.directory.condition('orders-1') !== 'usable') {
    await new Promise(resolve => { setImmediate(resolve) })
  }
  const base = `http://${entry.callerAddress}`
  return {
    entry,
    store,
    base,
    endBalancerLag: () => endBalancerLag(),
    setFaults: (target: string, faults: Record<string, unknown>) => request(`http://${standins.targets[target]!}/faults`, { method: 'POST', body: JSON.stringify(faults) }),
    complete: (body: Record<string, unknown> = {}) => request(`${base}/v1/completions`, {
      method: 'POST', headers: ACCOUNT_HEADERS, body: JSON.stringify({ model: 'draft', prompt: 'a van', stream: true, max_tokens: 20, ...body })
    }),
    book: (key: string) => request(`${base}/services/orders/orders`, {
      method: 'POST', headers: { ...ACCOUNT_HEADERS, 'idempotency-key': key }, body: '{"item":"vinyl"}'
    }),
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]()
  }
}
