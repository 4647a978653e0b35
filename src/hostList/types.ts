/**
 * Port to the platform's host list: which hosts are live or leaving, with a lag.
 */

/** One host as the platform lists it. */
export interface ListedHost {
  name: string
  /** IP number and port of what runs on the host, as `ip:port`. */
  address: string
  failureDomain: string
  state: 'live' | 'leaving'
}

/** Reads the host list. */
export interface HostList extends AsyncDisposable {
  read: () => Promise<{ kind: 'listed', hosts: ListedHost[] } | { kind: 'unavailable', cause: string }>
}
