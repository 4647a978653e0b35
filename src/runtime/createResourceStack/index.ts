/**
 * Releases resources together, in reverse order. Node.js 20 has no `AsyncDisposableStack`.
 */

/** Owns resources until it is disposed. */
export interface ResourceStack extends AsyncDisposable {
  /** Takes ownership of a resource and returns it. */
  use: <T extends AsyncDisposable>(resource: T) => T
}

/**
 * @name createResourceStack
 * @summary An empty stack.
 * @returns The stack; disposal releases every resource even when one of them fails, then throws the first failure.
 *
 * @example
 * await using stack = createResourceStack()
 * const store = stack.use(createHttpObjectStore(options))
 */
export function createResourceStack (): ResourceStack {
  const resources: AsyncDisposable[] = []
  return {
    use (resource) {
      resources.push(resource)
      return resource
    },
    async [Symbol.asyncDispose] () {
      const failures: unknown[] = []
      for (const resource of resources.splice(0).reverse()) {
        try {
          await resource[Symbol.asyncDispose]()
        } catch (error) {
          failures.push(error)
        }
      }
      if (failures.length > 0) throw failures[0]
    }
  }
}
