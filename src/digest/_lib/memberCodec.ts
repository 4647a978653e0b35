/**
 * Text form of some members of the fleet: `domain=age@address,...;...`, with ages in tenths of a
 * second. Hosts decode dozens of members in each digest, so they are not validated field by field.
 */

/** A host with the time since its last sign of life. */
export interface MemberAge {
  ip: string
  failureDomain: string
  /** In milliseconds. */
  ageMs: number
}

const AGE_UNIT_MS = 100

/** Encodes members, grouped by failure domain. */
export function encodeMembers (members: readonly MemberAge[]): string {
  const byDomain = new Map<string, string[]>()
  for (const { ip, failureDomain, ageMs } of members) {
    const entries = byDomain.get(failureDomain) ?? []
    byDomain.set(failureDomain, entries)
    entries.push(`${Math.round(ageMs / AGE_UNIT_MS)}@${ip}`)
  }
  return [...byDomain].map(([domain, entries]) => `${encodeURIComponent(domain)}=${entries.join(',')}`).join(';')
}

/** Decodes members; `undefined` if the text is malformed. */
export function decodeMembers (text: string): MemberAge[] | undefined {
  if (text === '') return []
  const members: MemberAge[] = []
  for (const group of text.split(';')) {
    const separator = group.indexOf('=')
    if (separator < 0) return undefined
    const failureDomain = decodeDomain(group.slice(0, separator))
    if (failureDomain === undefined) return undefined
    for (const entry of group.slice(separator + 1).split(',')) {
      const at = entry.indexOf('@')
      const age = Number(entry.slice(0, at))
      if (at < 1 || !Number.isInteger(age) || age < 0 || at + 1 === entry.length) return undefined
      members.push({ ip: entry.slice(at + 1), failureDomain, ageMs: age * AGE_UNIT_MS })
    }
  }
  return members
}

function decodeDomain (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    // A malformed escape: the digest is dropped as malformed by the caller.
    return undefined
  }
}
