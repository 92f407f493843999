/** What a run of daemons and servers with failing links is given, and what it shows. */

export interface LinksOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly ms: number;
  /** Daemons never ask or use each other. */
  readonly isAlone?: boolean;
  /** Connections to servers that crash break too, at a few daemons, which ask whether these have ended. */
  readonly areEndsChecked?: boolean;
}

/** A caller's first try. */
export interface Try {
  readonly at: number;
  readonly daemon: number;
  readonly isServed: boolean;
  /** The daemon has been cut off from all servers for long enough. */
  readonly isCutOff: boolean;
}

export interface LinksResult {
  readonly tries: readonly Try[];
  /** Cuts of daemons from all servers that last long enough for the rule. */
  readonly cuts: readonly { readonly from: number; readonly to: number }[];
  /** Sound servers, reached by most daemons, that one took for ended after its connections broke. */
  readonly wronglyEnded: number;
  /** Checks, by daemons whose own links are sound, of servers that had ended, and how many found that out. */
  readonly ends: { readonly checked: number; readonly found: number };
  /** Requests that were sent through peers although the links had been sound for a while. */
  readonly needlesslyForwarded: number;
  /**
   * Most requests that one daemon forwarded in a second, and its share in that second if each request were
   * divided evenly among the daemons that reach its server.
   */
  readonly busiest: { readonly forwarded: number; readonly evenShare: number };
  readonly trace: readonly string[];
}
