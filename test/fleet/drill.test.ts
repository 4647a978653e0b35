/** Hosts that read a store and each other in any order, with late answers, while the store comes back from copies. */
import test from 'ava'
import fc from 'fast-check'
import { comparePositions, type StorePosition } from '../../src/fleet/comparePositions/index.js'
import { createFleetState, type FleetState } from '../../src/fleet/createFleetState/index.js'
import type { Target, TargetUpdate } from '../../src/fleet/types.js'
import { buildEngine } from '../fakes/buildFleet.js'
import { createManualRuntime } from '../fakes/createManualRuntime.js'

const IDS = ['a', 'b', 'c']
const HOSTS = 3

interface Entry { target: Target, revision: number, writtenAt: number }

/** A store whose entries know when they were written, counted over all eras. */
function createModelStore () {
  let entries = new Map<string, Entry>()
  let removals = new Map<string, number>()
  let [era, revision, writes] = [1, 0, 0]
  let copy = { entries, removals, revision }
  return {
    position: (): StorePosition => ({ era, revision }),
    writes: () => writes,
    list: (): Target[] => [...entries.values()].map(({ target }) => target),
    lastWriteOf: ({ id, bornMs }: Target): number => {
      const entry = entries.get(id)
      return entry?.target.bornMs === bornMs && !entry.target.isLeaving ? entry.writtenAt : -1
    },
    changesSince: (since: number) => ({
      changed: [...entries.values()].filter(entry => entry.revision > since).map(({ target }) => target),
      removedIds: [...removals].filter(([id, at]) => at > since && !entries.has(id)).map(([id]) => id)
    }),
    put (target: Target) {
      entries = new Map(entries).set(target.id, { target, revision: ++revision, writtenAt: ++writes })
    },
    remove (id: string) {
      if (!entries.has(id)) return
      entries = new Map([...entries].filter(([known]) => known !== id))
      removals = new Map(removals).set(id, ++revision)
    },
    takeCopy () { copy = { entries, removals, revision } },
    restore () {
      ({ entries, removals, revision } = copy)
      era++
    }
  }
}

type ModelStore = ReturnType<typeof createModelStore>

const keyOf = ({ id, bornMs }: Target): string => `${id} ${bornMs}`

/** A host, with what it has acknowledged: starts that leave, and when starts were removed. */
function createHost (store: ModelStore) {
  const fleet = createFleetState({ runtime: createManualRuntime() })
  const left = new Set<string>()
  const goneAt = new Map<string, number>()
  let listed: Target[] = []
  let position: StorePosition = { era: 0, revision: -1 }
  return {
    fleet,
    /** Applies an answer; returns what is wrong afterwards. */
    apply (change: () => void): string | undefined {
      change()
      const next = { era: fleet.era(), revision: fleet.revision() }
      if (comparePositions(next, position) < 0) return `went back from ${JSON.stringify(position)} to ${JSON.stringify(next)}`
      position = next
      const now = fleet.targets()
      for (const target of listed) if (!fleet.isListed(target)) goneAt.set(keyOf(target), store.writes())
      for (const target of now) if (target.isLeaving && !goneAt.has(keyOf(target))) left.add(keyOf(target))
      listed = now
      const serving = fleet.servingTargets('model')
      const wrong = serving.find(target => left.has(keyOf(target)) || store.lastWriteOf(target) < (goneAt.get(keyOf(target)) ?? -1))
      return wrong === undefined ? undefined : `${keyOf(wrong)} is used again`
    }
  }
}

function applyUpdate (fleet: FleetState, { isWhole, changed, ...update }: TargetUpdate): void {
  if (fleet.isBehind(update) && update.fingerprint !== fleet.fingerprint()) return
  if (isWhole) fleet.applySnapshot({ ...update, targets: changed })
  else fleet.applyChanges({ ...update, changed })
}

const host = fc.nat({ max: HOSTS - 1 })
const step = fc.oneof(
  fc.record({ kind: fc.constant('put' as const), id: fc.constantFrom(...IDS), bornMs: fc.integer({ min: 1, max: 2 }), isLeaving: fc.boolean() }),
  fc.record({ kind: fc.constant('remove' as const), id: fc.constantFrom(...IDS) }),
  fc.record({ kind: fc.constantFrom('copy' as const, 'restore' as const) }),
  fc.record({ kind: fc.constant('list' as const), host, isLate: fc.boolean() }),
  fc.record({ kind: fc.constant('watch' as const), host }),
  fc.record({ kind: fc.constant('pull' as const), host, from: host, isLate: fc.boolean() }),
  fc.record({ kind: fc.constant('deliver' as const), index: fc.nat({ max: 5 }) })
)

test('whatever the order of answers and drills, no host goes back or uses what it knew to leave or to be gone, and all come to agree', t => {
  fc.assert(fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), steps => {
    const store = createModelStore()
    const hosts = Array.from({ length: HOSTS }, () => createHost(store))
    /** Engines that have reported that they leave do not take it back. */
    const draining = new Set<string>()
    const late: Array<() => string | undefined> = []
    const answer = (to: number, isLate: boolean, change: () => void): string | undefined => {
      const deliver = (): string | undefined => hosts[to]!.apply(change)
      if (!isLate) return deliver()
      late.push(deliver)
      return undefined
    }
    const list = (to: number, isLate: boolean): string | undefined => {
      const snapshot = { ...store.position(), targets: store.list() }
      return answer(to, isLate, () => { hosts[to]!.fleet.applySnapshot(snapshot) })
    }
    const pull = (to: number, from: number, isLate: boolean): string | undefined => {
      const update = hosts[from]!.fleet.updateSince(hosts[to]!.fleet.fingerprint())
      return answer(to, isLate, () => applyUpdate(hosts[to]!.fleet, update))
    }
    const run = (command: typeof steps[number]): string | undefined => {
      switch (command.kind) {
        case 'put': {
          const target = { ...buildEngine(command.id, 'north', 'small'), bornMs: command.bornMs }
          if (command.isLeaving) draining.add(keyOf(target))
          store.put({ ...target, isLeaving: draining.has(keyOf(target)) })
          return undefined
        }
        case 'remove': store.remove(command.id); return undefined
        case 'copy': store.takeCopy(); return undefined
        case 'restore': store.restore(); return undefined
        case 'list': return list(command.host, command.isLate)
        case 'watch': {
          const { fleet } = hosts[command.host]!
          const { era, revision } = store.position()
          // As a follower does, changes are applied to what is known of the same era only.
          if (fleet.era() !== era) return list(command.host, false)
          const changes = store.changesSince(fleet.revision())
          return answer(command.host, false, () => fleet.applyChanges({ era, revision, ...changes }))
        }
        case 'pull': return command.from === command.host ? undefined : pull(command.host, command.from, command.isLate)
        case 'deliver': return late.splice(command.index, 1)[0]?.()
      }
    }
    for (const command of steps) {
      const wrong = run(command)
      if (wrong !== undefined) throw new Error(wrong)
    }
    const wrong = [list(0, false), ...hosts.slice(1).map((_, index) => pull(index + 1, 0, false)), ...late.map(deliver => deliver())].find(result => result !== undefined)
    if (wrong !== undefined) throw new Error(`at the end: ${wrong}`)
    const expected = createFleetState({ runtime: createManualRuntime() })
    expected.applySnapshot({ ...store.position(), targets: store.list() })
    return hosts.every(({ fleet }) => fleet.fingerprint() === expected.fingerprint())
  }), { seed: 20261205, numRuns: 2_000 })
  t.pass()
})
