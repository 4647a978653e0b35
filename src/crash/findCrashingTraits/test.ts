import test from 'ava'
import fc from 'fast-check'
import { findCrashingTraits } from './index.js'

const sighting = (part: string, request: string, engine: number) => ({ service: 'model', part, request, targetId: `i-${engine}`, bornMs: 1 })
/** Sightings of the parts of one prompt on the engines that ended under it; the last part is its own. */
const prompt = (request: string, engines: number[], ...parts: string[]) => engines.flatMap(engine => parts.map((part, position) => ({ ...sighting(part, request, engine), position })))
const whole = (request: string, engine: number) => ({ service: '', part: `request:${request}`, request, targetId: `i-${engine}`, bornMs: 1 })
const partsOf = (sightings: Parameters<typeof findCrashingTraits>[0]): string[][] => findCrashingTraits(sightings).map(({ parts }) => parts)

test('three crashes under two requests show the part, fewer do not', t => {
  t.deepEqual(partsOf([sighting('bad', '1', 1), sighting('bad', '1', 2), sighting('bad', '2', 3)]), [['bad']])
  t.deepEqual(partsOf([sighting('bad', '1', 1), sighting('bad', '2', 2)]), [])
  t.deepEqual(partsOf([sighting('bad', '1', 1), sighting('bad', '2', 1), sighting('bad', '3', 1)]), [])
})

test('repeats of one request are held against the request and not against a part that it shares', t => {
  const crashes = (request: string, engines: number[]) => engines.flatMap(engine => [sighting('shared', request, engine), whole(request, engine)])
  t.deepEqual(partsOf(crashes('1', [1, 2])), [])
  t.deepEqual(partsOf(crashes('1', [1, 2, 3])), [['request:1']])
  t.deepEqual(partsOf(crashes('1', [1, 2, 3, 4, 5, 6])), [['request:1']])
  t.deepEqual(partsOf([...crashes('1', [1, 2, 3, 4, 5, 6]), ...crashes('2', [7])]), [['request:1']], 'one more crash had another cause')
  t.deepEqual(partsOf([...crashes('1', [1, 2, 3, 4, 5, 6]), ...crashes('2', [7]), ...crashes('3', [8])]), [['shared']])
})

test('a request that was on engines that a part crashed is not taken for the cause', t => {
  const bad = [1, 2, 3, 4].flatMap(engine => [sighting('bad', `b${engine}`, engine), whole(`b${engine}`, engine)])
  t.deepEqual(partsOf([...bad, ...[1, 2, 3].map(engine => whole('sound', engine))]), [['bad']])
})

test('a request that was on some of the engines that another one crashed is not taken for the cause', t => {
  const bad = [1, 2, 3, 4].map(engine => whole('bad', engine))
  t.deepEqual(partsOf([...bad, ...[1, 2, 3].map(engine => whole('sound', engine))]), [['request:bad']])
  t.deepEqual(partsOf([...bad.slice(1), ...[2, 3, 4].map(engine => whole('other', engine))]), [['request:bad'], ['request:other']])
})

test('crashes that another part explains do not count', t => {
  const bad = [1, 2, 3, 4, 5, 6, 7].map(engine => sighting('bad', String(engine), engine))
  const bystander = [1, 2, 3].map(engine => sighting('rare', `r${engine}`, engine))
  t.deepEqual(partsOf([...bystander, ...bad]), [['bad']])
  t.deepEqual(partsOf([...bystander, sighting('rare', 'r8', 8), sighting('rare', 'r9', 9), sighting('rare', 'r10', 10), ...bad]), [['bad'], ['rare']])
})

test('parts that only occurred together count together', t => {
  const both = [1, 2, 3].flatMap(engine => [sighting('bad', String(engine), engine), sighting('first', String(engine), engine)])
  t.deepEqual(partsOf(both), [['bad', 'first']])
  t.deepEqual(partsOf([...both, sighting('bad', '4', 4)]), [['bad']])
})

test('while two parts may explain the crashes neither is taken, and from the fifth crash the rarer one', t => {
  const bad = [1, 2, 3, 4, 5].map(engine => sighting('bad', `b${engine}`, engine))
  const common = [1, 2, 3, 4, 5].flatMap(engine => [sighting('common', `c${engine}`, engine), sighting('common', `d${engine}`, engine)])
  t.deepEqual(partsOf([...common.slice(0, 6), ...bad.slice(0, 3)]), [])
  t.deepEqual(partsOf([...common.slice(0, 6), ...bad.slice(0, 4)]), [['bad']])
  t.deepEqual(partsOf([...common, ...bad]), [['bad']])
  t.deepEqual(partsOf([...common, ...bad, sighting('common', 'c6', 6)]), [['common']])
})

test('one start of an engine under the id of another one is another crash', t => {
  const restarts = [1, 2, 3].map(bornMs => ({ ...sighting('bad', String(bornMs), 1), bornMs }))
  t.deepEqual(partsOf(restarts), [['bad']])
})

test('among requests that are on an engine by chance, the one that crashes it is found and most others are not', t => {
  // Each crash takes along up to five requests that had just begun, with rare parts of a hundred.
  const crash = fc.array(fc.nat(99), { maxLength: 5 })
  fc.assert(fc.property(fc.array(crash, { minLength: 5, maxLength: 8 }), bystanders => {
    const sightings = bystanders.flatMap((rare, engine) => [sighting('bad', `b${engine}`, engine), ...rare.map((part, index) => sighting(`rare-${part}`, `${engine} ${index}`, engine))])
    const found = partsOf(sightings)
    t.true(found.some(parts => parts.includes('bad')))
    t.true(found.length <= 2)
  }), { seed: 5, numRuns: 300 })
})

test('a first part is not taken for the cause of crashes that parts behind it may have caused', t => {
  const crashes = [...prompt('1', [1, 2], 'shared', 'bad-1'), ...prompt('2', [3], 'shared', 'bad-2')]
  t.deepEqual(partsOf(crashes), [['bad-1', 'shared'], ['bad-2', 'shared']], 'only what has crashed engines is held back')
})

test('a first part is the cause once too many others would have to be', t => {
  const crashes = ['a', 'b', 'c'].flatMap((part, index) => prompt(part, index === 0 ? [0, 10] : [index], 'bad', part))
  t.deepEqual(partsOf(crashes), [['bad']])
  t.deepEqual(partsOf(['1', '2', '3'].flatMap((request, index) => prompt(request, [index], 'bad'))), [['bad']], 'no other part is behind it')
})

test('a part behind first parts is the cause after three crashes', t => {
  t.deepEqual(partsOf(['a', 'b', 'c'].flatMap((part, index) => prompt(part, [index], part, 'bad'))), [['bad']])
})

test('a part that was on engines by chance is not taken for the cause while two other parts may be', t => {
  const bad = [...prompt('1', [1, 2], 'first', 'bad-1'), ...prompt('2', [3], 'second', 'bad-2')]
  const bystanders = [1, 2, 3].flatMap(engine => prompt(`s${engine}`, [engine], 'shared'))
  t.deepEqual(partsOf([...bad, ...bystanders]), [])
})
