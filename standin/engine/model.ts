/**
 * Arithmetic of the stand-in's model. A token depends on every layer in order and on the KV cache
 * of all earlier positions, so a run that is skipped, repeated or out of order changes the answer.
 * `computeExpectedAnswer` computes the same answer in one place.
 */

/** Vocabulary of the answers. */
const WORDS = ['matte', 'gloss', 'stripe', 'panel', 'roof', 'door', 'thread', 'navy', 'scarlet', 'satin', 'border', 'logo', 'curve', 'edge', 'fill', 'outline']

/** Hashes a 32-bit value into a 32-bit state. */
function mix (state: number, value: number): number {
  let hash = Math.imul(state ^ value, 0x9E3779B1)
  hash ^= hash >>> 15
  return Math.imul(hash, 0x85EBCA77) >>> 0
}

/** Computes the activation of a text: its hash (FNV offset basis as the initial state). */
export function embed (text: string): number {
  let state = 0x811C9DC5
  for (let index = 0; index < text.length; index++) state = mix(state, text.charCodeAt(index))
  return state
}

/** Runs a range of layers on one activation; `kv` is the KV state of the earlier positions. */
export function runLayers (activation: number, kv: number, fromLayer: number, toLayer: number): number {
  let state = mix(activation, kv)
  for (let layer = fromLayer; layer < toLayer; layer++) state = mix(state, layer + 1)
  return state
}

/** Computes the KV state of a stage after one more position. */
export function extendKv (kv: number, activation: number): number {
  return mix(kv, activation)
}

/** Maps the activation after the last layer to a token. */
export function decodeToken (activation: number): string {
  return `${WORDS[activation % WORDS.length]!} `
}

/** Layers and KV state of one stage in the reference computation. */
interface StageState {
  fromLayer: number
  toLayer: number
  kv: number
}

/**
 * Computes the whole answer of a model that is split into stages, in one place.
 * `boundaries` holds the first layer of each stage, followed by the number of layers.
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
