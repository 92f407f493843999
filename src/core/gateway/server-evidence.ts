/**
 * What the findings of several daemons say about a server that does not answer one of them.
 *
 * Load pattern: the links of many daemons to some or all servers fail at once, and their connections break. A
 * refused connection then comes from the link as often as from a server that ended, at several observers at the
 * same time. One that reaches the server shows that it has not ended; its end needs several observers whose
 * links to other servers are sound.
 */

/** As `ListeningState`; `unknown` if the observer's own link may have failed, or it did not answer. */
export type ServerFinding = 'listening' | 'refused' | 'unreachable' | 'unknown';

/** Observers that must agree that a server does not listen; all, if there are fewer. */
const AGREEING_OBSERVERS = 3;
/** Answers of peers that are enough if none of them is `unknown`. */
const SUFFICIENT_ANSWERS = 6;
/** Other servers, of those checked, that may be down without the observer's link being to blame. */
const MAX_UNREACHED = 1;

export interface ServerFindings {
  /** What this daemon finds; undefined if it has not looked. */
  readonly own?: ServerFinding | undefined;
  readonly peers: readonly ServerFinding[];
  /** Number of peers that can be asked. */
  readonly askable: number;
}

function count(findings: readonly ServerFinding[], wanted: ServerFinding): number {
  return findings.filter((finding) => finding === wanted).length;
}

/** Whether no further peers need to be asked. An `unknown` shows that links fail, maybe at others too. */
export function isSettled({ own, peers }: Omit<ServerFindings, 'askable'>): boolean {
  if (peers.includes('listening')) return true;
  return peers.length >= SUFFICIENT_ANSWERS && own !== 'unknown' && !peers.includes('unknown');
}

/** The state of the server. `refused` means that it has ended, `unreachable` only that it is silent. */
export function judgeServer({ own, peers, askable }: ServerFindings): ServerFinding {
  if (peers.includes('listening')) return 'listening';
  const all = own === undefined ? peers : [own, ...peers];
  const refused = count(all, 'refused');
  const unreachable = count(all, 'unreachable');
  const needed = Math.min(AGREEING_OBSERVERS, Math.max(1, askable));
  const failed = refused + unreachable;
  if (failed < needed) return 'unknown';
  return refused >= needed && refused > unreachable ? 'refused' : 'unreachable';
}

/** Whether an observer's links are sound, by what it found of a few other servers. */
export function areLinksSound(others: readonly ServerFinding[]): boolean {
  const reached = count(others, 'listening');
  return reached > 0 && others.length - reached <= MAX_UNREACHED;
}
