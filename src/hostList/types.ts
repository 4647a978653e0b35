/**
 * Port to the platform's host list, which tells with a delay which hosts are live or leaving.
 */

/** One host as the platform lists it. */
export interface ListedHost {
  name: string
  /** `ip:port` of the process that runs on the host. */
  address: string
  failureDomain: string
  state: 'live' | 'leaving'
}

/** The host list; a failed read returns `unavailable` instead of throwing. */
export interface HostList extends AsyncDisposable {
  read: () => Promise<{ kind: 'listed', hosts: ListedHost[] } | { kind: 'unavailable', cause: string }>
}
