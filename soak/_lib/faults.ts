/**
 * The faults of the soak test. Each one disrupts hosts, targets or the store for a while and then
 * undoes this. They are started one after the other and may overlap.
 */
import { STUTTERS } from './createTargetHandler.js'
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

/** Longest time between two parts of a series, in milliseconds. */
const MAX_SERIES_INTERVAL_MS = 600

/** Longest pause that a target asks for, and time from its word that it leaves to its end, in milliseconds. */
const MAX_ASKED_PAUSE_MS = 3_000
const LEAVING_MS = 3_500

/** Longest silence of a target that is sound, in milliseconds. */
const MAX_SILENCE_MS = 1_200

/** How long callers send prompts that crash engines, in milliseconds. */
const CRASHING_PROMPT_MS = 6_000

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
    await restartHost(host, context)
  },
  async rollingRestart (context) {
    const restarts: Array<Promise<void>> = []
    for (const host of context.hosts.filter(candidate => candidate.isUp())) {
      if (host.isUp()) restarts.push(restartHost(host, context))
      await context.pauseRandomly(2 * MAX_SERIES_INTERVAL_MS)
    }
    await Promise.all(restarts)
  },
  async hostReplacedByOtherVersion (context) {
    const host = pickRunningHost(context)
    if (host === undefined) return
    const others = context.programs.filter(program => program !== host.program())
    // Replacements go forward more often than back.
    const program = context.random() < 0.6 ? context.programs.at(-1) : others[context.randomInt(others.length)]
    await restartHost(host, context, program)
  },
  async hostPaused (context) {
    await pickRunningHost(context)?.pause(context.random() * MAX_PAUSE_MS)
  },
  async settingsReloaded (context) {
    pickRunningHost(context)?.signal('SIGHUP')
  },
  async settingsReloadedInSeries (context) {
    for (const host of [...context.hosts, ...context.hosts]) {
      if (host.isUp()) host.signal('SIGHUP')
      await context.pauseRandomly(MAX_SERIES_INTERVAL_MS / 3)
    }
  },
  async clockStepped (context) {
    pickRunningHost(context)?.signal('SIGUSR2')
  },
  hostCutFromStore: unplanned(async context => {
    const { storeProxy } = context.hosts[context.randomInt(context.hosts.length)]!
    const direction = (['up', 'down', 'both'] as const)[context.randomInt(3)]!
    const fault = [{ kind: 'reset' } as const, { kind: 'silence', direction } as const, { kind: 'delay', delayMs: context.random() * MAX_DELAY_MS } as const][context.randomInt(3)]!
    storeProxy.setFault(fault)
    await context.pauseRandomly(3_000)
    storeProxy.setFault({ kind: 'none' })
  }),
  async hostCutFromTargets (context) {
    const host = pickRunningHost(context)
    if (host === undefined) return
    const cut = host.cutOff(context.targets.targets.map(target => target.proxy.address), { isRefused: context.random() < 0.3, isReset: context.random() < 0.5 })
    await context.pauseRandomly(2_000)
    // The host's requests go through its peers now.
    if (context.random() < 0.6) await FAULTS.hostKilled!({ ...context, hosts: context.hosts.filter(other => other !== host) })
    await context.pauseRandomly(1_000)
    cut[Symbol.dispose]()
  },
  storeDown: unplanned(async context => {
    const { faults } = context.store
    if (context.random() < 0.5) faults.status = context.random() < 0.5 ? 503 : 429
    else faults.isSilent = true
    await context.pauseRandomly(2_500)
    delete faults.status
    delete faults.isSilent
    context.recordStoreRecovery()
  }),
  storeForgets: unplanned(async context => {
    if (context.random() < 0.5) context.store.faults.losesNextWriteAnswer = true
    else context.store.faults.expiresNextWatch = true
  }),
  async configurationChanged (context) {
    context.changeConfiguration()
  },
  async configurationChangedInSeries (context) {
    for (let count = 2 + context.randomInt(4); count > 0; count--) {
      context.changeConfiguration()
      await context.pauseRandomly(MAX_SERIES_INTERVAL_MS)
    }
  },
  async targetShedding (context) {
    await shed(context.targets.targets.filter(() => context.random() < 0.7), context)
  },
  async targetBreaksOff (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.breakOff()
    await shed(context.targets.targets.filter(other => other !== target && context.random() < 0.9), context)
  },
  async promptCrashesTargets (context) {
    const sending = context.targets.sendCrashingPart()
    await pause(CRASHING_PROMPT_MS)
    sending[Symbol.dispose]()
  },
  async targetCrashed (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.crash(context.random() < 0.5 ? 'reset' : 'silence')
    await context.pauseRandomly(3_000)
    await target.restart({ keepsIdentity: context.random() < 0.4 })
  },
  async targetKilled (context) {
    for (let count = 1 + context.randomInt(2); count > 0; count--) {
      const target = pickRunningTarget(context)
      if (target === undefined) return
      target.crash('kill')
      await context.pauseRandomly(2_000)
      await target.restart({ keepsIdentity: context.random() < 0.4 })
    }
  },
  async targetSilent (context) {
    pickRunningTarget(context)?.fallSilent(context.random() * MAX_SILENCE_MS)
  },
  async targetsStutter (context) {
    const targets = context.targets.targets.filter(() => context.random() < 0.6)
    for (const target of targets) target.setStutter(STUTTERS[context.randomInt(STUTTERS.length)])
    await context.pauseRandomly(MAX_SERIES_INTERVAL_MS)
    // Streams that break off are resumed at targets that stutter.
    pickRunningTarget(context)?.breakOff()
    await context.pauseRandomly(2_000)
    for (const target of targets) target.setStutter(undefined)
  },
  async targetLeaves (context) {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.leave((['answers', 'draining', 'removed'] as const)[context.randomInt(3)]!)
    await pause(LEAVING_MS)
    target.crash('reset')
    await target.restart({ keepsIdentity: false })
  },
  targetSlow: unplanned(async context => {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.proxy.setFault({ kind: 'delay', delayMs: context.random() * MAX_DELAY_MS })
    await context.pauseRandomly(2_000)
    if (target.isUp()) target.proxy.setFault({ kind: 'none' })
  }),
  targetCutOneWay: unplanned(async context => {
    const target = pickRunningTarget(context)
    if (target === undefined) return
    target.proxy.setFault({ kind: 'silence', direction: context.random() < 0.5 ? 'up' : 'down' })
    await context.pauseRandomly(1_500)
    if (target.isUp()) target.proxy.setFault({ kind: 'none' })
  })
}

/** Marks all hosts as affected by an unplanned fault while a fault of the store or of links lasts. */
function unplanned (fault: Fault): Fault {
  return async context => {
    const ends = context.hosts.map(host => host.beginUnplanned())
    await fault(context)
    for (const end of ends) end()
  }
}

async function restartHost (host: SoakHost, context: FaultContext, program = host.program()): Promise<void> {
  const problem = await host.stop()
  if (problem !== undefined) context.report(`${host.name} ${problem}`)
  host.start({ atNewAddress: context.random() < 0.4, program })
}

async function shed (targets: readonly SoakTarget[], context: FaultContext): Promise<void> {
  for (const target of targets) target.setShedding(true, context.random() < 0.5 ? MAX_ASKED_PAUSE_MS : 0)
  await context.pauseRandomly(2 * MAX_SERIES_INTERVAL_MS)
  for (const target of targets) target.setShedding(false)
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
