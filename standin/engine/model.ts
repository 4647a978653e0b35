/**
 * The arithmetic of the stand-in's model. A token depends on every layer, in order, and on the
 * KV cache of every earlier position, so that a skipped, doubled or misplaced run changes the
 * answer. `expectedAnswer` computes the same answer without stages.
 */

/** Words of the stand-in's answers. */
const WORDS = ['matte', 'gloss', 'stripe', 'panel', 'roof', 'door', 'thread', 'navy', 'scarlet', 'satin', 'border', 'logo', 'curve', 'edge', 'fill', 'outline']

/** One word, folded into a running 32-bit state. */
function mix (state: number, value: number): number {
  let hash = Math.imul(state ^ value, 0x9E3779B1)
  hash ^= hash >>> 15
  return Math.imul(hash, 0x85EBCA77) >>> 0
}

/** Activation of a text. */
export function embed (text: string): number {
  let state = 0x811C9DC5
  for (let index = 0; index < text.length; index++) state = mix(state, text.charCodeAt(index))
  return state
}

/** Runs a range of layers on one activation; the KV state is that of the positions before. */
export function runLayers (activation: number, kv: number, fromLayer: number, toLayer: number): number {
  let state = mix(activation, kv)
  for (let layer = fromLayer; layer < toLayer; layer++) state = mix(state, layer + 1)
  return state
}

/** KV state of a stage after one more position. */
export function extendKv (kv: number, activation: number): number {
  return mix(kv, activation)
}

/** The token that a last activation stands for. */
export function decodeToken (activation: number): string {
  return `${WORDS[activation % WORDS.length]!} `
}

/** A stage boundary of the reference computation. */
interface StageState {
  fromLayer: number
  toLayer: number
  kv: number
}

/**
 * The whole answer of a model cut at the given layers, computed in one place.
 * `boundaries` lists the first layer of each stage and, last, the number of layers.
 */
export function computeExpectedAnswer (prompt: string, tokens: number, boundaries: number[]): string[] {
  const stages: StageState[] = boundaries.slice(0, -1).map((fromLayer, index) => ({ fromLayer, toLayer: boundaries[index + 1]!, kv: 0 }))
  const answer: string[] = []
  let activation = embed(prompt)
  for (let position = 0; position < tokens; position++) {
    for (const stage of stages) {
      const output = runLayers(activation, stage.kv, stage.fromLayer, stage.toLayer)
      stage.kv = extendKv(stage.kv, activation)
      activation = output
    }
    const token = decodeToken(activation)
    answer.push(token)
    activation = embed(token)
  }
  return answer
}
