/**
 * Targets of the soak test: engines that hold layers and answer streams, and a plain service. They
 * record in a ledger which requests they received and ran; the checks compare it with what callers
 * received.
 */
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import type { PlatformStoreStandin } from '../../standin/platform/servePlatformStore/index.js'
import { createTargetHandler, type LedgerEntry, type Stutter, type TargetState } from './createTargetHandler.js'
import { startProxyProcess, type ProxyProcess } from './startProxyProcess.js'

/** A target under the control of the soak test. */
export interface SoakTarget extends AsyncDisposable {
  id: () => string
  /** The process that holds the target's connections. */
  proxy: ProxyProcess
  /** Stops without notice: its connections are reset or silent, or its process is killed, and its entry expires. */
  crash: (fault: 'refuse' | 'reset' | 'silence' | 'kill') => void
  /** Starts again without layers, under the same identity or a new one. */
  restart: (options: { keepsIdentity: boolean }) => Promise<void>
  /** Announces in its answers, and to the store as told, that the target leaves; requests that are running may end. */
  leave: (notice: 'answers' | 'draining' | 'removed') => void
  /** Sends nothing for a time. */
  fallSilent: (forMs: number) => void
  /** Answers in a faulty way, or no longer does. */
  setStutter: (stutter: Stutter | undefined) => void
  /** Breaks off all streams at once. */
  breakOff: () => void
  /** Refuses all requests without running them, and asks for pauses of up to `maxPauseMs`, or no longer does. */
  setShedding: (isShedding: boolean, maxPauseMs?: number) => void
  /** Monotonic time at which the target announced that it leaves, in milliseconds. */
  leavingSinceMs: () => number | undefined
  isUp: () => boolean
}

/** All targets and their common ledger. */
export interface SoakTargets extends AsyncDisposable {
  targets: SoakTarget[]
  ledger: LedgerEntry[]
  /** Parts of prompts that crash engines, with the monotonic times of the crashes in milliseconds. */
  crashesMs: Map<string, number[]>
  /** The part among them that callers send at present. */
  sentCrashingPart: () => string | undefined
  /** Lets callers send a new part that crashes engines, until disposed of. */
  sendCrashingPart: () => Disposable
}

/** Interval at which targets renew their entries, and time after which an entry that is not renewed expires, in milliseconds. */
const ENTRY_RENEWAL_MS = 400
const ENTRY_EXPIRY_MS = 1_600

/** Time before the end of a target in which its answers count as broken off, in milliseconds. */
const LAST_ANSWERS_MS = 500

/** Time after which an engine that a prompt has crashed starts again, in milliseconds. */
const CRASHED_DOWN_MS = 1_000

/** Starts targets that register in the store: in each failure domain, engines of one kind and one plain service. */
export async function startTargets (store: PlatformStoreStandin, options: { failureDomains: readonly string[], enginesPerFailureDomain: number, random: () => number }): Promise<SoakTargets> {
  const { failureDomains, enginesPerFailureDomain, random } = options
  const ledger: LedgerEntry[] = []
  const crashesMs = new Map<string, number[]>()
  let sentCrashingPart: string | undefined
  const statesByAddress = new Map<string, TargetState>()
  let identityCount = 0
  const targetPlans = failureDomains.flatMap(failureDomain => [
    ...Array.from({ length: enginesPerFailureDomain }, () => ({ failureDomain, service: 'model' })),
    { failureDomain, service: 'orders' }
  ])
  const targets = await Promise.all(targetPlans.map(({ failureDomain, service }) => startTarget(failureDomain, service)))

  async function startTarget (failureDomain: string, service: string): Promise<SoakTarget> {
    const state: TargetState = { id: '', bornMs: 0, layers: undefined, orders: 0, isBusy: false, isUp: true, leavingSinceMs: undefined, storeToldMs: undefined, isShedding: false, maxPauseMs: 0, stutter: undefined, lastRequestId: undefined, silentUntilMs: 0, breakOffCount: 0, renewalCount: 0, pathsByRequest: new Map() }
    const server = http.createServer((request, response) => { serve(request, response) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const proxy = await startProxyProcess(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    statesByAddress.set(proxy.address, state)
    const serve = createTargetHandler(state, { service, ledger, random, renewEntry, findFaultyStage, crashUnder })
    let expiryTimer: NodeJS.Timeout | undefined
    let notice: 'answers' | 'draining' | 'removed' = 'answers'
    let restartTimer: NodeJS.Timeout | undefined
    let isEnded = false
    const renewalTimer = setInterval(renewEntry, ENTRY_RENEWAL_MS)
    resetState(false)

    function resetState (keepsIdentity: boolean): void {
      if (!keepsIdentity || state.id === '') state.id = `${service}-${++identityCount}`
      Object.assign(state, { bornMs: Date.now(), layers: undefined, orders: 0, isBusy: false, isUp: true, leavingSinceMs: undefined, storeToldMs: undefined, stutter: undefined, pathsByRequest: new Map() })
      clearTimeout(expiryTimer)
      renewEntry()
    }

    function renewEntry (): void {
      if (!state.isUp || isEnded || (state.leavingSinceMs !== undefined && notice === 'removed')) return
      store.put('servers', state.id, {
        service,
        address: proxy.address,
        zone: failureDomain,
        version: 'v1',
        slots: 32,
        state: state.leavingSinceMs === undefined || notice === 'answers' ? 'ready' : 'draining',
        cold_remaining_ms: 0,
        sequence: ++state.renewalCount,
        born: state.bornMs,
        ...(service === 'model' ? { kind: 'small', layers: state.layers ?? { from: 0, to: 0 } } : {})
      })
    }

    function crashUnder (promptParts: readonly string[]): boolean {
      const part = promptParts.find(candidate => crashesMs.has(candidate))
      if (part === undefined || !state.isUp) return false
      crashesMs.get(part)!.push(performance.now())
      target.crash(random() < 0.5 ? 'refuse' : 'kill')
      restartTimer = setTimeout(() => target.restart({ keepsIdentity: false }), CRASHED_DOWN_MS)
      return true
    }

    const target: SoakTarget = {
      id: () => state.id,
      proxy,
      isUp: () => state.isUp,
      leavingSinceMs: () => state.leavingSinceMs,
      crash (fault) {
        state.isUp = false
        // What the process had not passed on is lost with it, and a whole answer without a length looks cut.
        for (const entry of ledger) if (entry.targetId === state.id && entry.outcome === 'answered' && entry.endedMs > performance.now() - LAST_ANSWERS_MS) entry.outcome = 'brokenOff'
        state.pathsByRequest.clear()
        if (fault === 'kill') proxy.kill()
        else proxy.setFault(fault === 'silence' ? { kind: 'silence', direction: 'both' } : { kind: fault })
        const { id } = state
        expiryTimer = setTimeout(() => store.remove('servers', id), ENTRY_EXPIRY_MS)
      },
      async restart ({ keepsIdentity }) {
        await proxy.restore()
        if (isEnded) return
        if (!keepsIdentity) store.remove('servers', state.id)
        resetState(keepsIdentity)
      },
      leave (how) {
        notice = how
        state.leavingSinceMs = performance.now()
        if (how === 'removed') store.remove('servers', state.id)
        else renewEntry()
        if (how !== 'answers') state.storeToldMs = performance.now()
      },
      fallSilent (forMs) { state.silentUntilMs = performance.now() + forMs },
      setStutter (stutter) { state.stutter = stutter },
      breakOff () { state.breakOffCount++ },
      setShedding (isShedding, maxPauseMs = 0) { Object.assign(state, { isShedding, maxPauseMs }) },
      async [Symbol.asyncDispose] () {
        isEnded = true
        clearInterval(renewalTimer)
        clearTimeout(expiryTimer)
        clearTimeout(restartTimer)
        await proxy[Symbol.asyncDispose]()
        server.closeAllConnections()
        await new Promise(resolve => { server.close(resolve) })
      }
    }
    return target
  }

  /** Returns the address of the first stage of a path that is down or does not hold its layers. */
  function findFaultyStage (path: string): string | undefined {
    return path.split(',').find(stage => {
      const [, address, from, to] = /^(.+)=(\d+)-(\d+)$/.exec(stage) ?? []
      const target = statesByAddress.get(address ?? '')
      return target?.isUp !== true || target.layers === undefined || target.layers.from > Number(from) || target.layers.to < Number(to)
    })?.split('=')[0]
  }

  return {
    targets,
    ledger,
    crashesMs,
    sentCrashingPart: () => sentCrashingPart,
    sendCrashingPart () {
      const part = `c${crashesMs.size}`
      crashesMs.set(part, [])
      sentCrashingPart = part
      return { [Symbol.dispose] () { if (sentCrashingPart === part) sentCrashingPart = undefined } }
    },
    async [Symbol.asyncDispose] () { await Promise.all(targets.map(target => target[Symbol.asyncDispose]())) }
  }
}
