/**
 * The directory of targets and the task that keeps it in step with the host list.
 */
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { HostList, ListedHost } from '../../hostList/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { createSubject } from '../../stream/createSubject/index.js'
import type { TargetDirectory } from '../types.js'

/** How long a suspected target gets no new work before it is tried again. */
const SUSPICION_MS = 2_000

/** What the directory works with. */
export interface TargetDirectoryOptions {
  holder: ConfigurationHolder
  runtime: Runtime
  log: EventLog
}

/** A directory with its feeding task. */
export interface FedTargetDirectory extends TargetDirectory {
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
export function createTargetDirectory (options: TargetDirectoryOptions): FedTargetDirectory {
  const { holder, runtime, log } = options
  const changes = createSubject<string>()
  const suspectedUntilMs = new Map<string, number>()
  const leaving = new Set<string>()
  let hosts = new Map<string, ListedHost>()

  const hostOf = (target: string): ListedHost | undefined => {
    const host = holder.current().targets.get(target)?.host
    return host === undefined ? undefined : hosts.get(host)
  }

  function noteLeaving (target: string, source: string): void {
    if (leaving.has(target)) return
    leaving.add(target)
    log.emit('targetLeaving', { target, source })
    changes.next(target)
  }

  /** Takes in a host list. A host that returns under another address is a new one. */
  function take (listed: ListedHost[]): void {
    const next = new Map(listed.map(host => [host.name, host]))
    for (const target of holder.current().targets.values()) {
      const before = hosts.get(target.host)
      const now = next.get(target.host)
      if (now === undefined || (before !== undefined && before.address !== now.address)) leaving.delete(target.name)
      if (now?.state === 'leaving') noteLeaving(target.name, 'hostList')
    }
    hosts = next
  }

  return {
    address: target => hostOf(target)?.address,
    condition (target) {
      if (leaving.has(target)) return 'leaving'
      if (hostOf(target) === undefined) return 'unlisted'
      return (suspectedUntilMs.get(target) ?? 0) > runtime.monotonicMs() ? 'suspected' : 'usable'
    },
    noteLeaving,
    noteSuspected (target) {
      suspectedUntilMs.set(target, runtime.monotonicMs() + SUSPICION_MS)
      log.emit('targetSuspected', { target })
      changes.next(target)
    },
    noteAnswered (target) {
      if (suspectedUntilMs.delete(target)) changes.next(target)
    },
    changes: changes.stream,
    async follow (hostList, { pollMs, signal }) {
      while (!signal.aborted) {
        const read = await hostList.read()
        if (read.kind === 'listed') take(read.hosts)
        await sleep(pollMs, { runtime, signal })
      }
    }
  }
}
