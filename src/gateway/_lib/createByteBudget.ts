/**
 * Bounds the memory of what a host reads and keeps: all answers without a stated length together, and all
 * bodies of requests. Each one has a small allowance of its own, so that those without an end, or
 * very large ones, cannot take it from the others.
 */

/** Bytes that one of them may hold whatever the others hold. */
const ALLOWANCE_BYTES = 256 * 2 ** 10

/** Bytes beyond the allowances that all may hold together; a host has 250 MB for all its work. */
const SHARED_BYTES = 48 * 2 ** 20

/** What one of them holds; its disposal returns that. */
export interface ByteClaim extends Disposable {
  /** Takes further bytes; returns whether they are to be had. */
  tryGrow: (countBytes: number) => boolean
}

/** Memory that is shared. */
export interface ByteBudget {
  claim: () => ByteClaim
}

/** Creates a budget of which nothing is taken; sizes are in bytes. */
export function createByteBudget ({ allowanceBytes = ALLOWANCE_BYTES, sharedBytes = SHARED_BYTES } = {}): ByteBudget {
  let leftBytes = sharedBytes
  return {
    claim () {
      let heldBytes = 0
      const sharedPart = (): number => Math.max(0, heldBytes - allowanceBytes)
      return {
        tryGrow (countBytes) {
          const before = sharedPart()
          heldBytes += countBytes
          const growth = sharedPart() - before
          if (growth > leftBytes) {
            heldBytes -= countBytes
            return false
          }
          leftBytes -= growth
          return true
        },
        [Symbol.dispose] () {
          leftBytes += sharedPart()
          heldBytes = 0
        }
      }
    }
  }
}
