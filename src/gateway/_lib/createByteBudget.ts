/**
 * Bounds the memory of all answers without a stated length that a host is reading. Each one has a
 * small allowance of its own, so that answers without an end cannot take it from the others.
 */

/** Bytes that an answer may hold whatever the others hold. */
const ALLOWANCE_BYTES = 256 * 2 ** 10

/** Bytes beyond the allowances that all answers may hold together; a host has 250 MB for all its work. */
const SHARED_BYTES = 48 * 2 ** 20

/** What one answer holds; its disposal returns that. */
export interface ByteClaim extends Disposable {
  /** Takes further bytes; returns whether they are to be had. */
  tryGrow: (countBytes: number) => boolean
}

/** Memory that is shared by the answers that are being read. */
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
