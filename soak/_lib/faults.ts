/**
 * The faults of the soak test. Each one disrupts hosts, targets or the store for a while and then
 * undoes this. They are started one after the other and may overlap.
 */
import { pause } from './startCallers.js'
import type { SoakHost } from './startHosts.js'
import type { SoakTarget } from './startTargets.js'
import type { FaultContext } from '../runSoak/index.js'

/** Injects one kind of fault; resolves once it is undone. */
export type Fault = (context: FaultContext) => Promise<void>

/** Longest pause of a process, in milliseconds. */
const MAX_PAUSE_MS = 1_200

/** Longest delay on a connection, in milliseconds. */
const MAX_DELAY_MS = 250

/** All kinds of faults by name. */
export const FAULTS: Record<string, Fault> = {
  async hostKilled (context) {
    const host = pickRunningHost(context)
    if (host === undefined) return
    await host.kill()
    await context.pauseRandomly(1_500)
    host.start({ atNewAddress: context.random() < 0.4 })
  },
  async allHostsKilled (context) {
    const hosts = context.hosts.filter(host => host.isUp())
    await Promise.all(hosts.map(host => host.kill()))
    await context.pauseRandomly(500)
    for (const host of hosts) host.start()
  },
  async hostStopped (context) {
    const host = pickRunningHost(context)
    if (host === undefined) return
    const problem = await host.stop()
    if (problem !== undefined) context.report(`${host.name} ${problem}`)
    host.start({ atNewAddress: context.random() < 0.4 })
  },
  async hostPaused (context) {
    await pickRunningHost(context)?.pause(context.random() * MAX_PAUSE_MS)
  },
  async settingsReloaded (context) {
    pickRunningHost(context)?.signal('SIGHUP')
  },
  async clockStepped (context) {
    pickRunningHost(context)?.signal('SIGUSR2')
  },
  async hostCutFromStore (context) {
    const { storeProxy } = context.hosts[context.randomInt(context.hosts.length)]!
    const direction = (['up', 'down', 'both'] as const)[context.randomInt(3)]!
    const fault = [{ kind: 'reset' } as const, { kind: 'silence', direction } as const, { kind: 'delay', delayMs: context.random() * MAX_DELAY_MS } as const][context.randomInt(3)]!
    storeProxy.setFault(fault)
    await context.pauseRandomly(3_000)
    storeProxy.setFault({ kind: 'none' })
  },
  async storeDown (context) {
    const { faults } = context.store
    if (context.random() < 0.5) faults.status = context.random() < 0.5 ? 503 : 429
    else faults.isSilent = true
    await context.pauseRandomly(2_500)
    delete faults.status
    delete faults.isSilent
    context.recordStoreRecovery()
  },
  async storeForgets (context) {
    if (context.random() < 0.5) context.store.faults.losesNextWriteAnswer = true
    else context.store.faults.expiresNextWatch = true
  },
  async configurationChanged (context) {
    context.changeConfiguration()
  },
  async targetCrashed (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.crash(context.random() < 0.5 ? 'reset' : 'silence')
    await context.pauseRandomly(3_000)
    target.restart({ keepsIdentity: context.random() < 0.4 })
  },
  async targetLeaves (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.leave()
    await pause(2_000)
    target.crash('reset')
    target.restart({ keepsIdentity: false })
  },
  async targetSlow (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.proxy.setFault({ kind: 'delay', delayMs: context.random() * MAX_DELAY_MS })
    await context.pauseRandomly(2_000)
    if (target.isUp()) target.proxy.setFault({ kind: 'none' })
  },
  async targetCutOneWay (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.proxy.setFault({ kind: 'silence', direction: context.random() < 0.5 ? 'up' : 'down' })
    await context.pauseRandomly(1_500)
    if (target.isUp()) target.proxy.setFault({ kind: 'none' })
  }
}

/** Picks a running host at random; `undefined` if there is none. */
function pickRunningHost (context: FaultContext): SoakHost | undefined {
  const running = context.hosts.filter(host => host.isUp())
  return running[context.randomInt(running.length)]
}

/** Picks a running target that is not leaving, at random; `undefined` if there is none. */
function pickRunningTarget (context: FaultContext): SoakTarget | undefined {
  const running = context.targets.targets.filter(target => target.isUp() && target.leavingSinceMs() === undefined)
  return running[context.randomInt(running.length)]
}
