/**
 * Targets of the soak: engines that hold layers and answer streams, and a plain service. They
 * keep a ledger of what reached them and what they ran, which the checks compare with what
 * callers saw.
 */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import type { PlatformStoreStandin } from '../../standin/platform/servePlatformStore/index.js'
import { createTargetHandler, type LedgerEntry, type TargetState } from './createTargetHandler.js'
import { startProxy, type Proxy } from './startProxy.js'

/** A target under the control of the soak. */
export interface SoakTarget extends AsyncDisposable {
  id: () => string
  proxy: Proxy
  /** Goes away without a word: resets or silence, and its entry lapses. */
  crash: (fault: 'reset' | 'silence') => void
  /** Comes back as a new start, empty; the identity may be the old one. */
  restart: (options: { keepsIdentity: boolean }) => void
  /** Announces that it leaves; work under way may end. */
  leave: () => void
  /** Monotonic time of its notice, while it leaves. */
  leavingSinceMs: () => number | undefined
  isUp: () => boolean
}

/** All targets with their ledger. */
export interface SoakTargets extends AsyncDisposable {
  targets: SoakTarget[]
  ledger: LedgerEntry[]
}

/** Interval at which targets renew their entries, and time after which an entry that is not renewed lapses, in milliseconds. */
const RENEW_MS = 400
const LAPSE_MS = 1_600

/** Starts targets that register in the store: engines of one kind in each domain, and plain ones. */
export async function startTargets (store: PlatformStoreStandin, options: { domains: readonly string[], enginesPerDomain: number, random: () => number }): Promise<SoakTargets> {
  const { domains, enginesPerDomain, random } = options
  const ledger: LedgerEntry[] = []
  const byAddress = new Map<string, TargetState>()
  let identities = 0
  const descriptions = domains.flatMap(domain => [
    ...Array.from({ length: enginesPerDomain }, () => ({ domain, service: 'model' })),
    { domain, service: 'orders' }
  ])
  const targets = await Promise.all(descriptions.map(({ domain, service }) => startTarget(domain, service)))

  async function startTarget (domain: string, service: string): Promise<SoakTarget> {
    const state: TargetState = { id: '', bornMs: 0, layers: undefined, orders: 0, isBusy: false, isUp: true, leavingSinceMs: undefined, renewals: 0, streams: new Map() }
    const server = http.createServer((request, response) => { serve(request, response) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const proxy = await startProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    byAddress.set(proxy.address, state)
    const serve = createTargetHandler(state, { service, ledger, random, renew, findFaultyStage })
    let lapse: NodeJS.Timeout | undefined
    const renewal = setInterval(renew, RENEW_MS)
    begin(false)

    function begin (keepsIdentity: boolean): void {
      if (!keepsIdentity || state.id === '') state.id = `${service}-${++identities}`
      Object.assign(state, { bornMs: Date.now(), layers: undefined, orders: 0, isBusy: false, isUp: true, leavingSinceMs: undefined, streams: new Map() })
      clearTimeout(lapse)
      renew()
    }

    function renew (): void {
      if (!state.isUp) return
      store.put('servers', state.id, {
        service,
        address: proxy.address,
        zone: domain,
        version: 'v1',
        slots: 32,
        state: state.leavingSinceMs === undefined ? 'ready' : 'draining',
        cold_remaining_ms: 0,
        sequence: ++state.renewals,
        born: state.bornMs,
        ...(service === 'model' ? { kind: 'small', layers: state.layers ?? { from: 0, to: 0 } } : {})
      })
    }

    return {
      id: () => state.id,
      proxy,
      isUp: () => state.isUp,
      leavingSinceMs: () => state.leavingSinceMs,
      crash (fault) {
        state.isUp = false
        state.streams.clear()
        proxy.setFault(fault === 'reset' ? { kind: 'reset' } : { kind: 'silence', direction: 'both' })
        const { id } = state
        lapse = setTimeout(() => store.remove('servers', id), LAPSE_MS)
      },
      restart ({ keepsIdentity }) {
        proxy.setFault({ kind: 'none' })
        if (!keepsIdentity) store.remove('servers', state.id)
        begin(keepsIdentity)
      },
      leave () {
        state.leavingSinceMs = performance.now()
        renew()
      },
      async [Symbol.asyncDispose] () {
        clearInterval(renewal)
        clearTimeout(lapse)
        await proxy[Symbol.asyncDispose]()
        server.closeAllConnections()
        await new Promise(resolve => { server.close(resolve) })
      }
    }
  }

  /** Address of the first stage of a path that is not up with those layers. */
  function findFaultyStage (path: string): string | undefined {
    return path.split(',').find(stage => {
      const [, address, from, to] = /^(.+)=(\d+)-(\d+)$/.exec(stage) ?? []
      const holder = byAddress.get(address ?? '')
      return holder?.isUp !== true || holder.layers === undefined || holder.layers.from > Number(from) || holder.layers.to < Number(to)
    })?.split('=')[0]
  }

  return {
    targets,
    ledger,
    async [Symbol.asyncDispose] () { await Promise.all(targets.map(target => target[Symbol.asyncDispose]())) }
  }
}
