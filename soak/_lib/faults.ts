/**
 * The faults of the soak. Each harms the world from outside for a while and then undoes it; they
 * are started in series and overlap.
 */
import { pause } from './startCallers.js'
import type { SoakHost } from './startHosts.js'
import type { SoakTarget } from './startTargets.js'
import type { World } from '../runSoak/index.js'

/** One kind of fault; resolves once it is undone. */
export type Fault = (world: World) => Promise<void>

/** Longest pause of a process, in milliseconds. */
const LONGEST_PAUSE_MS = 1_200

/** Longest delay on a connection, in milliseconds. */
const LONGEST_DELAY_MS = 250

/** Every kind of fault by name. */
export const FAULTS: Record<string, Fault> = {
  async hostKilled (world) {
    const host = takeHost(world)
    if (host === undefined) return
    await host.kill()
    await world.pauseUpTo(1_500)
    host.start({ atNewAddress: world.random() < 0.4 })
  },
  async allHostsKilled (world) {
    const hosts = world.hosts.filter(host => host.isUp())
    await Promise.all(hosts.map(host => host.kill()))
    await world.pauseUpTo(500)
    for (const host of hosts) host.start()
  },
  async hostStopped (world) {
    const host = takeHost(world)
    if (host === undefined) return
    const wrong = await host.stop()
    if (wrong !== undefined) world.report(`${host.name} ${wrong}`)
    host.start({ atNewAddress: world.random() < 0.4 })
  },
  async hostPaused (world) {
    await takeHost(world)?.pause(world.random() * LONGEST_PAUSE_MS)
  },
  async settingsReloaded (world) {
    takeHost(world)?.signal('SIGHUP')
  },
  async clockStepped (world) {
    takeHost(world)?.signal('SIGUSR2')
  },
  async hostCutFromStore (world) {
    const { storeProxy } = world.hosts[world.draw(world.hosts.length)]!
    const direction = (['up', 'down', 'both'] as const)[world.draw(3)]!
    const fault = [{ kind: 'reset' } as const, { kind: 'silence', direction } as const, { kind: 'delay', delayMs: world.random() * LONGEST_DELAY_MS } as const][world.draw(3)]!
    storeProxy.setFault(fault)
    await world.pauseUpTo(3_000)
    storeProxy.setFault({ kind: 'none' })
  },
  async storeDown (world) {
    const { faults } = world.store
    if (world.random() < 0.5) faults.status = world.random() < 0.5 ? 503 : 429
    else faults.isSilent = true
    await world.pauseUpTo(2_500)
    delete faults.status
    delete faults.isSilent
    world.noteStoreBack()
  },
  async storeForgets (world) {
    if (world.random() < 0.5) world.store.faults.losesNextWriteAnswer = true
    else world.store.faults.expiresNextWatch = true
  },
  async configurationChanged (world) {
    world.changeConfiguration()
  },
  async targetCrashed (world) {
    const target = takeTarget(world)
    if (target === undefined) return
    target.crash(world.random() < 0.5 ? 'reset' : 'silence')
    await world.pauseUpTo(3_000)
    target.restart({ keepsIdentity: world.random() < 0.4 })
  },
  async targetLeaves (world) {
    const target = takeTarget(world)
    if (target === undefined) return
    target.leave()
    await pause(2_000)
    target.crash('reset')
    target.restart({ keepsIdentity: false })
  },
  async targetSlow (world) {
    const target = takeTarget(world)
    if (target === undefined) return
    target.proxy.setFault({ kind: 'delay', delayMs: world.random() * LONGEST_DELAY_MS })
    await world.pauseUpTo(2_000)
    if (target.isUp()) target.proxy.setFault({ kind: 'none' })
  },
  async targetCutOneWay (world) {
    const target = takeTarget(world)
    if (target === undefined) return
    target.proxy.setFault({ kind: 'silence', direction: world.random() < 0.5 ? 'up' : 'down' })
    await world.pauseUpTo(1_500)
    if (target.isUp()) target.proxy.setFault({ kind: 'none' })
  }
}

/** A host that runs, if any. */
function takeHost (world: World): SoakHost | undefined {
  const running = world.hosts.filter(host => host.isUp())
  return running[world.draw(running.length)]
}

/** A target that runs and stays, if any. */
function takeTarget (world: World): SoakTarget | undefined {
  const running = world.targets.targets.filter(target => target.isUp() && target.leavingSinceMs() === undefined)
  return running[world.draw(running.length)]
}
