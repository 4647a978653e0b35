/**
 * Runs the embedding example.
 */
import { createSystemRuntime } from '../../src/index.js'
import { answerLocally } from './index.js'

const { text, result } = await answerLocally('a delivery van', { runtime: createSystemRuntime() })
console.log(text, result)
