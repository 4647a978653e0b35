import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', '**/gen/**', 'node_modules/**', 'coverage/**', '.run/**'] })
]
