import test from 'ava'
import type { EngineStatus } from '../../engine/types.js'
import { modelScopeSchema, type ModelScope } from '../../ticket/types.js'
import { planOrders } from './index.js'

const engine = (target: string, range: string, version = 'v1', model = 'm'): [string, EngineStatus] => {
  const [fromLayer, toLayer] = range.split('-').map(Number) as [number, number]
  return [target, { target, model, version, fromLayer, toLayer, fencing: 1, sequences: 0, leaving: false }]
}

function model (version: string, placement: Record<string, string>): ModelScope {
  const parts = Object.entries(placement).map(([target, range]) => ({ target, fromLayer: Number(range.split('-')[0]), toLayer: Number(range.split('-')[1]) }))
  return modelScopeSchema.parse({ layers: 8, version, placement: parts })
}

const plan = (models: Record<string, ModelScope>, engines: Array<[string, EngineStatus]>) =>
  planOrders({ models: new Map(Object.entries(models)), statuses: new Map(engines) })

const names = (orders: Array<{ target: string }>): string[] => orders.map(order => order.target)

test('engines that are as they should be get no order', t => {
  t.deepEqual(plan({ m: model('v1', { a: '0-4', b: '4-8' }) }, [engine('a', '0-4'), engine('b', '4-8')]), { orders: [], held: [] })
})

test('a version change leaves one whole pipeline in service', t => {
  const wanted = { m: model('v2', { a: '0-4', b: '4-8', c: '0-4', d: '4-8' }) }
  const first = plan(wanted, [engine('a', '0-4'), engine('b', '4-8'), engine('c', '0-4'), engine('d', '4-8')])
  t.deepEqual([names(first.orders), names(first.held)], [['a', 'b'], ['c', 'd']])
  const second = plan(wanted, [engine('a', '0-4', 'v2'), engine('b', '4-8', 'v2'), engine('c', '0-4'), engine('d', '4-8')])
  t.deepEqual(names(second.orders), ['c', 'd'])
})

test('the last pipeline of a model is not taken for another model', t => {
  const { orders, held } = plan({ m: model('v1', { a: '0-8' }), n: model('v1', { b: '0-8' }) }, [engine('b', '0-8')])
  t.deepEqual([orders, held.map(order => order.lastPipelineOf)], [[], ['m']])
})

test('engines of a model that is no longer configured are free', t => {
  t.deepEqual(names(plan({ n: model('v1', { a: '0-8' }) }, [engine('a', '0-8')]).orders), ['a'])
})

test('a leaving engine neither gets orders nor counts as a pipeline', t => {
  const leaving = engine('b', '0-8')
  leaving[1].leaving = true
  const { orders, held } = plan({ m: model('v2', { a: '0-8', b: '0-8' }) }, [engine('a', '0-8'), leaving])
  t.deepEqual([names(orders), names(held)], [[], ['a']])
})
