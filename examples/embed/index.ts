/**
 * Embeds the router in another program: the pipeline runs over engines that live in this
 * process, behind the same port as the HTTP adapter. Run it with `npx tsx examples/embed/main.ts`.
 */
import {
  buildConfiguration, createConfigurationHolder, createEventLog, createHybridClock, createSubject,
  createTargetDirectory, runPipeline,
  type AnswerResult, type EngineClient, type OpenSequence, type OpenStage, type Runtime, type TokenFrame
} from '../../src/index.js'

/** Words that the embedded engines answer with. */
const ANSWER = ['red ', 'van ', 'with ', 'white ', 'stripes ']

/** An engine client without a network: the last stage streams the answer. */
function createLocalEngines (): EngineClient {
  return {
    async open ({ target }, sequence) {
      return { kind: 'open', stage: createLocalStage(target, sequence) }
    },
    status: async ({ target }) => ({
      kind: 'status',
      status: { target, model: 'draft', version: '1', fromLayer: 0, toLayer: 2, fencing: 0, sequences: 0, leaving: false }
    }),
    held: async () => ({ kind: 'unknown' }),
    async cancel () {},
    order: async () => ({ kind: 'accepted' }),
    async [Symbol.asyncDispose] () {}
  }
}

function createLocalStage (target: string, sequence: OpenSequence): OpenStage {
  const subject = createSubject<TokenFrame>()
  if (sequence.next === undefined) setImmediate(() => stream(subject.next, sequence))
  return {
    target,
    frames: subject.stream,
    pause () {},
    resume () {},
    isPaused: () => false,
    detach: subject.complete,
    finish: subject.complete,
    async [Symbol.asyncDispose] () { subject.complete() }
  }
}

function stream (next: (frame: TokenFrame) => void, { attempt, firstPosition, maxTokens }: OpenSequence): void {
  const end = Math.min(maxTokens, ANSWER.length)
  for (let position = firstPosition; position < end; position++) {
    next({ attempt, position, token: ANSWER[position]!, ...(position === end - 1 ? { last: true } : {}) })
  }
}

/**
 * @name answerLocally
 * @summary Answers one prompt through a pipeline of two embedded stages.
 * @param prompt - The prompt.
 * @param options - The runtime.
 * @returns The answer and how it ended.
 *
 * @example
 * const { text } = await answerLocally('a van', { runtime: createSystemRuntime() })
 */
export async function answerLocally (prompt: string, options: { runtime: Runtime }): Promise<{ text: string, result: AnswerResult }> {
  const { runtime } = options
  const clock = createHybridClock({ nowMs: runtime.nowMs })
  const log = createEventLog({ host: 'embedded', process: 'example', clock, file: null })
  const holder = createConfigurationHolder({ runtime, log })
  holder.applyIfNewer(buildConfiguration({ revision: 1, scopes: { 'models/draft': 1, 'targets/all': 1 }, nonce: '' }, new Map<string, unknown>([
    ['targets/all', { targets: ['left', 'right'].map(name => ({ name, host: name, kind: 'engine' })) }],
    ['models/draft', {
      layers: 4,
      version: '1',
      placement: [{ target: 'left', fromLayer: 0, toLayer: 2 }, { target: 'right', fromLayer: 2, toLayer: 4 }]
    }]
  ])), 'store')
  const directory = createTargetDirectory({ holder, runtime, log })
  const hosts = ['left', 'right'].map(name => ({ name, address: '127.0.0.1:0', failureDomain: 'here', state: 'live' as const }))
  const listed = new AbortController()
  const hostList = { read: async () => ({ kind: 'listed' as const, hosts }), async [Symbol.asyncDispose] () {} }
  const following = directory.follow(hostList, { pollMs: 1_000, signal: listed.signal })
  await new Promise(resolve => { setImmediate(resolve) })

  const tokens: string[] = []
  const result = await runPipeline({
    request: 'example-1', account: 'example', model: 'draft', prompt, maxTokens: 16, priority: 5, deadlineMs: 5_000, given: [], earlierAttempt: 0
  }, {
    configuration: holder.current,
    engines: createLocalEngines(),
    directory,
    pick: candidates => candidates[0]!,
    runtime,
    log,
    signal: new AbortController().signal,
    onToken: frame => { tokens.push(frame.token) }
  })
  listed.abort()
  await following
  return { text: tokens.join(''), result }
}
