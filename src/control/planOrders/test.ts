import test from 'ava'
import type { EngineStatus } from '../../engine/types.js'
import { modelScopeSchema, type ModelScope } from '../../ticket/types.js'
import { planOrders } from './index.js'

/** A map entry of an engine that serves a range of layers such as `0-4`. */
const createEngineEntry = (target: string, range: string, version = 'v1', model = 'm'): [string, EngineStatus] => {
  const [fromLayer, toLayer] = range.split('-').map(Number) as [number, number]
  return [target, { target, model, version, fromLayer, toLayer, fencing: 1, sequences: 0, leaving: false }]
}

/** A model of 8 layers; `placement` gives the layer range of each target. */
function createModel (version: string, placement: Record<string, string>): ModelScope {
  const parsedPlacement = Object.entries(placement).map(([target, range]) => ({ target, fromLayer: Number(range.split('-')[0]), toLayer: Number(range.split('-')[1]) }))
  return modelScopeSchema.parse({ layers: 8, version, placement: parsedPlacement })
}

const planFor = (models: Record<string, ModelScope>, engines: Array<[string, EngineStatus]>) =>
  planOrders({ models: new Map(Object.entries(models)), statuses: new Map(engines) })

const targetsOf = (orders: Array<{ target: string }>): string[] => orders.map(order => order.target)

test('engines in the configured state get no order', t => {
  t.deepEqual(planFor({ m: createModel('v1', { a: '0-4', b: '4-8' }) }, [createEngineEntry('a', '0-4'), createEngineEntry('b', '4-8')]), { orders: [], held: [] })
})

test('a version change leaves one complete pipeline in service', t => {
  const models = { m: createModel('v2', { a: '0-4', b: '4-8', c: '0-4', d: '4-8' }) }
  const first = planFor(models, [createEngineEntry('a', '0-4'), createEngineEntry('b', '4-8'), createEngineEntry('c', '0-4'), createEngineEntry('d', '4-8')])
  t.deepEqual([targetsOf(first.orders), targetsOf(first.held)], [['a', 'b'], ['c', 'd']])
  const second = planFor(models, [createEngineEntry('a', '0-4', 'v2'), createEngineEntry('b', '4-8', 'v2'), createEngineEntry('c', '0-4'), createEngineEntry('d', '4-8')])
  t.deepEqual(targetsOf(second.orders), ['c', 'd'])
})

test('the last pipeline of a model is not taken for another model', t => {
  const { orders, held } = planFor({ m: createModel('v1', { a: '0-8' }), n: createModel('v1', { b: '0-8' }) }, [createEngineEntry('b', '0-8')])
  t.deepEqual([orders, held.map(order => order.lastPipelineOf)], [[], ['m']])
})

test('engines of a model that is no longer configured are reassigned', t => {
  t.deepEqual(targetsOf(planFor({ n: createModel('v1', { a: '0-8' }) }, [createEngineEntry('a', '0-8')]).orders), ['a'])
})

test('a leaving engine neither gets orders nor counts as a pipeline', t => {
  const leaving = createEngineEntry('b', '0-8')
  leaving[1].leaving = true
  const { orders, held } = planFor({ m: createModel('v2', { a: '0-8', b: '0-8' }) }, [createEngineEntry('a', '0-8'), leaving])
  t.deepEqual([targetsOf(orders), targetsOf(held)], [[], ['a']])
})
