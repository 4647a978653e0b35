/**
 * The directory of targets and the task that keeps it in step with the host list.
 */
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { HostList, ListedHost } from '../../hostList/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import { createNoticeBook, type TargetLife } from '../_lib/createNoticeBook.js'
import type { TargetDirectory, TargetNotice } from '../types.js'

/** What the directory works with. */
export interface TargetDirectoryOptions {
  holder: ConfigurationHolder
  runtime: Runtime
  log: EventLog
}

/** A directory with its feeding task. */
export interface PollingTargetDirectory extends TargetDirectory {
  /** Reads the host list until the signal aborts. */
  follow: (hostList: HostList, options: { pollMs: number, signal: AbortSignal }) => Promise<void>
}

/**
 * @name createTargetDirectory
 * @summary An empty directory.
 * @param options - Configuration, runtime and log.
 * @returns The directory.
 *
 * @example
 * const directory = createTargetDirectory({ holder, runtime, log })
 * void directory.follow(hostList, { pollMs: 1000, signal })
 */
export function createTargetDirectory (options: TargetDirectoryOptions): PollingTargetDirectory {
  const { holder, runtime, log } = options
  const changes = createSubject<string>()
  const notices = createNoticeBook({ runtime })
  let hosts = new Map<string, ListedHost>()

  const addressOf = (target: string): string | undefined => {
    const host = holder.current().targets.get(target)?.host
    return host === undefined ? undefined : hosts.get(host)?.address
  }

  /** The target as it is now; one that is not listed has no life to speak of. */
  function lifeOf (target: string): TargetLife | undefined {
    const address = addressOf(target)
    return address === undefined ? undefined : { target, address }
  }

  function addLeaving (life: TargetLife, source: string): void {
    if (!notices.addLeaving(life, { told: source === 'peer' })) return
    log.emit('targetLeaving', { ...life, source })
    changes.next(life.target)
  }

  function takeNotice ({ target, address, state, remainingMs }: TargetNotice): void {
    const life = { target, address }
    if (state === 'leaving') return addLeaving(life, 'peer')
    if (!notices.addSuspected(life, { remainingMs, told: true })) return
    log.emit('targetSuspected', { ...life, source: 'peer' })
    changes.next(target)
  }

  /** Takes in a host list. A host that returns under another address is a new one. */
  function take (listed: ListedHost[]): void {
    const next = new Map(listed.map(host => [host.name, host]))
    for (const { name, host } of holder.current().targets.values()) {
      const before = hosts.get(host)
      const now = next.get(host)
      if (before !== undefined && before.address !== now?.address) notices.forget({ target: name, address: before.address })
      if (now?.state === 'leaving') addLeaving({ target: name, address: now.address }, 'hostList')
    }
    hosts = next
  }

  return {
    address: addressOf,
    condition (target) {
      const life = lifeOf(target)
      if (life === undefined) return 'unlisted'
      if (notices.isLeaving(life)) return 'leaving'
      return notices.isSuspected(life, holder.current().targets.size) ? 'suspected' : 'usable'
    },
    markLeaving (target, source) {
      const life = lifeOf(target)
      if (life !== undefined) addLeaving(life, source)
    },
    markSuspected (target) {
      const life = lifeOf(target)
      if (life === undefined) return
      notices.addSuspected(life)
      log.emit('targetSuspected', { ...life, source: 'self' })
      changes.next(target)
    },
    markReachable (target) {
      const life = lifeOf(target)
      if (life !== undefined && notices.clearSuspected(life)) changes.next(target)
    },
    applyNotices: received => received.forEach(takeNotice),
    noticesAfter: notices.after,
    changes: changes.stream,
    async follow (hostList, { pollMs, signal }) {
      while (!signal.aborted) {
        const read = await hostList.read()
        if (read.kind === 'listed') take(read.hosts)
        await sleep(pollMs * (0.75 + runtime.random() / 2), { runtime, signal })
      }
    }
  }
}
