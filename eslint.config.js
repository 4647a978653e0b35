import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', '**/gen/**', 'node_modules/**', 'coverage/**', '.run/**'] })
]
