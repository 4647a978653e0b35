/**
 * Directory of targets: their addresses and conditions, kept up to date by polling the host list
 * and by notices.
 */
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { HostList, ListedHost } from '../../hostList/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import { createNoticeTable, type TargetInstance } from '../_lib/createNoticeTable.js'
import type { TargetDirectory, TargetNotice } from '../types.js'

/** Options of `createTargetDirectory`. */
export interface TargetDirectoryOptions {
  holder: ConfigurationHolder
  runtime: Runtime
  log: EventLog
}

/** A directory that polls the host list. */
export interface PollingTargetDirectory extends TargetDirectory {
  /** Polls the host list, at jittered intervals with a mean of `pollMs`, until the signal aborts. */
  follow: (hostList: HostList, options: { pollMs: number, signal: AbortSignal }) => Promise<void>
}

/**
 * @name createTargetDirectory
 * @summary Creates an empty directory.
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
  const notices = createNoticeTable({ runtime })
  let hosts = new Map<string, ListedHost>()

  const addressOf = (target: string): string | undefined => {
    const host = holder.current().targets.get(target)?.host
    return host === undefined ? undefined : hosts.get(host)?.address
  }

  /** The target at its present address, or `undefined` while its host is not listed. */
  function instanceOf (target: string): TargetInstance | undefined {
    const address = addressOf(target)
    return address === undefined ? undefined : { target, address }
  }

  function addLeaving (instance: TargetInstance, source: string): void {
    if (!notices.addLeaving(instance, { isFromPeer: source === 'peer' })) return
    log.emit('targetLeaving', { ...instance, source })
    changes.next(instance.target)
  }

  /** Applies a notice from a peer. */
  function applyNotice ({ target, address, state, remainingMs }: TargetNotice): void {
    const instance = { target, address }
    if (state === 'leaving') return addLeaving(instance, 'peer')
    if (!notices.addSuspected(instance, { remainingMs, isFromPeer: true })) return
    log.emit('targetSuspected', { ...instance, source: 'peer' })
    changes.next(target)
  }

  /** Applies a host list. A host that is listed under another address than before counts as a new one. */
  function applyHostList (listed: ListedHost[]): void {
    const next = new Map(listed.map(host => [host.name, host]))
    for (const { name, host } of holder.current().targets.values()) {
      const before = hosts.get(host)
      const current = next.get(host)
      if (before !== undefined && before.address !== current?.address) notices.forget({ target: name, address: before.address })
      if (current?.state === 'leaving') addLeaving({ target: name, address: current.address }, 'hostList')
    }
    hosts = next
  }

  return {
    address: addressOf,
    condition (target) {
      const instance = instanceOf(target)
      if (instance === undefined) return 'unlisted'
      if (notices.isLeaving(instance)) return 'leaving'
      return notices.isSuspected(instance, holder.current().targets.size) ? 'suspected' : 'usable'
    },
    markLeaving (target, source) {
      const instance = instanceOf(target)
      if (instance !== undefined) addLeaving(instance, source)
    },
    markSuspected (target) {
      const instance = instanceOf(target)
      if (instance === undefined) return
      notices.addSuspected(instance)
      log.emit('targetSuspected', { ...instance, source: 'self' })
      changes.next(target)
    },
    markReachable (target) {
      const instance = instanceOf(target)
      if (instance !== undefined && notices.clearSuspected(instance)) changes.next(target)
    },
    applyNotices: received => received.forEach(applyNotice),
    noticesAfter: notices.after,
    changes: changes.stream,
    async follow (hostList, { pollMs, signal }) {
      while (!signal.aborted) {
        const read = await hostList.read()
        if (read.kind === 'listed') applyHostList(read.hosts)
        await sleep(pollMs * (0.75 + runtime.random() / 2), { runtime, signal })
      }
    }
  }
}
