import fc from 'fast-check'
import test from 'ava'
import { orderQueue, type QueueOrderFacts, type ServedShare, type WaitingRequest } from './index.js'

const EVEN: ServedShare = { asked: 100, served: 50 }
const FACTS: QueueOrderFacts = { nowMs: 1_000, isReturnTurn: true, rankShare: () => EVEN, accountShare: () => EVEN, overall: { accounts: EVEN, ranks: EVEN } }

const waiting = (name: string, options: Partial<WaitingRequest> = {}) => ({ name, rank: 1, account: 'a', arrivedMs: 900, onTimeUntilMs: 1_200, isReturning: false, ...options })
const namesOf = (requests: Array<{ name: string }>): string[] => requests.map(({ name }) => name)

test('rank first, then returns, then what can be in time, then late ones', t => {
  const queue = [waiting('late', { arrivedMs: 100, onTimeUntilMs: 400 }), waiting('new'), waiting('back', { isReturning: true, onTimeUntilMs: -2_000 }), waiting('urgent', { rank: 0, arrivedMs: 990 })]
  t.deepEqual(namesOf(orderQueue(queue, FACTS)), ['urgent', 'back', 'new', 'late'])
})

test('returns beyond their share go behind what can be in time, and before what is late', t => {
  const queue = [waiting('late', { onTimeUntilMs: 400 }), waiting('back', { isReturning: true }), waiting('new')]
  t.deepEqual(namesOf(orderQueue(queue, { ...FACTS, isReturnTurn: false })), ['new', 'back', 'late'])
})

test('the account that was served least goes first, and before all one that was starved', t => {
  const shares: Record<string, ServedShare> = { big: { asked: 400, served: 60 }, small: { asked: 10, served: 9 }, usual: { asked: 40, served: 25 } }
  const queue = [waiting('usual', { account: 'usual' }), waiting('small', { account: 'small' }), waiting('big', { account: 'big' })]
  t.deepEqual(namesOf(orderQueue(queue, { ...FACTS, accountShare: account => shares[account]! })), ['big', 'small', 'usual'])
})

test('no rank and no account starves while half as much is served as asked for', t => {
  const KINDS = [{ rank: 0, account: 'huge', perStep: 6 }, { rank: 0, account: 'tiny', perStep: 1 }, { rank: 1, account: 'huge', perStep: 4 }, { rank: 2, account: 'mid', perStep: 3 }]
  fc.assert(fc.property(fc.integer({ min: 4, max: 9 }), placesPerStep => {
    const shares = new Map<string, ServedShare>()
    const shareOf = (key: string): ServedShare => shares.get(key) ?? { asked: 0, served: 0 }
    const count = (field: keyof ServedShare, { rank, account }: { rank: number, account: string }): void => {
      for (const key of [`rank ${rank}`, `account ${account}`, 'all']) shares.set(key, { ...shareOf(key), [field]: shareOf(key)[field] + 1 })
    }
    for (let step = 0; step < 60; step++) {
      let queue = KINDS.flatMap(kind => Array.from({ length: kind.perStep }, () => waiting('r', { rank: kind.rank, account: kind.account })))
      queue.forEach(request => count('asked', request))
      for (let place = 0; place < placesPerStep; place++) {
        const order = orderQueue(queue, { ...FACTS, rankShare: rank => shareOf(`rank ${rank}`), accountShare: account => shareOf(`account ${account}`), overall: { accounts: shareOf('all'), ranks: shareOf('all') } })
        count('served', order[0]!)
        queue = order.slice(1)
      }
    }
    const ratio = ({ asked, served }: ServedShare): number => served / asked
    return ['rank 0', 'rank 1', 'rank 2', 'account huge', 'account tiny', 'account mid'].every(key => ratio(shareOf(key)) >= 0.25 * ratio(shareOf('all')))
  }))
  t.pass()
})
