export default {
  extensions: { ts: 'module' },
  workerThreads: false,
  nodeArguments: ['--import=tsx'],
  files: ['src/**/test.ts', 'standin/**/test.ts', 'soak/**/test.ts', 'test/**/*.test.ts'],
  timeout: '120s'
}
