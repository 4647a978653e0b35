import test from 'ava'
import { modelScopeSchema } from '../../ticket/types.js'
import { chooseChain } from './index.js'

const model = modelScopeSchema.parse({
  layers: 4,
  version: '1',
  placement: [
    { target: 'a', fromLayer: 0, toLayer: 2 },
    { target: 'b', fromLayer: 2, toLayer: 4 },
    { target: 'c', fromLayer: 0, toLayer: 3 }
  ]
})

test('a chain covers every layer once and avoids stages that no other stage continues', t => {
  const chain = chooseChain(model, { isUsable: () => true, pick: candidates => candidates.at(-1)! })
  t.deepEqual(chain?.map(stage => stage.target), ['a', 'b'])
})

test('no chain is chosen when a layer range has no usable target', t => {
  t.is(chooseChain(model, { isUsable: target => target !== 'b', pick: candidates => candidates[0]! }), undefined)
})
