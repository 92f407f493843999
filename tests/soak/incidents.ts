/** What a run did that may end a stream early, and whether that explains a torn answer. */

import type { ServerName } from '../../src/core/ids';
import type { Run } from '../../stand-ins/users-platform/servers';
import type { Call } from './callers';

interface Incident {
  /** Servers whose streams may end. */
  readonly servers: ReadonlySet<ServerName>;
  /** Daemon whose streams may end. */
  readonly daemon: string | undefined;
  readonly from: number;
  until: number;
}

export interface Incidents {
  /** Notes servers that ended or whose connections did. The returned function notes when that is over. */
  noteServers(names: readonly ServerName[]): () => void;
  /** Notes a daemon that lost its connections; the returned function notes when that is over. */
  noteDaemon(id: string): () => void;
  /** Notes a daemon whose process has just ended other than by itself. */
  noteExit(id: string): void;
  /** Notes a daemon whose process stands still; the returned function notes when that is over. */
  noteStill(id: string): () => void;
  /** Whether the daemon stood still at some time in an interval. */
  stoodStill(daemon: string, from: number, until: number): boolean;
  /** Whether an incident, or its deadline, explains that the call got a part of its answer only. */
  explain(call: Call, runs: readonly Run[]): boolean;
}

/** Streams that are sent later than this after an incident are not concerned: their daemons know of it. */
const AFTERMATH_MS = 1_000;
/** The end of a process is noticed later than that of its connections. */
const EXIT_NOTICED_MS = 500;
/** Of the deadline; the daemon's is a little earlier than the caller's. */
const DEADLINE_SLACK_MS = 250;

export function createIncidents(deadlineMs: number): Incidents {
  const incidents: Incident[] = [];
  const pauses: { readonly daemon: string; readonly from: number; until: number }[] = [];
  const now = (): number => performance.now();

  const note = (found: Pick<Incident, 'servers' | 'daemon'>): (() => void) => {
    const incident = { ...found, from: now(), until: Infinity };
    incidents.push(incident);
    return () => {
      incident.until = now() + AFTERMATH_MS;
    };
  };

  return {
    noteServers: (names) => note({ servers: new Set(names), daemon: undefined }),
    noteDaemon: (daemon) => note({ servers: new Set(), daemon }),
    noteStill: (daemon) => {
      const still = { daemon, from: now(), until: Infinity };
      pauses.push(still);
      return () => {
        still.until = now();
      };
    },
    stoodStill: (daemon, from, until) =>
      pauses.some((one) => one.daemon === daemon && one.from <= until && one.until >= from),
    noteExit: (daemon) => {
      const at = now();
      incidents.push({ servers: new Set(), daemon, from: at - EXIT_NOTICED_MS, until: at });
    },
    explain: ({ daemon, sentAt, endedAt }, runs) => {
      // Of a stream that was resumed, only the last group matters.
      const { server, closedAt = 0 } = runs.at(-1) ?? {};
      // The deadline explains nothing if the daemon had given up the server's connection before.
      if (closedAt >= sentAt + deadlineMs - DEADLINE_SLACK_MS) return true;
      return incidents
        .filter(({ from, until }) => from <= endedAt && until >= sentAt)
        .some((one) => one.daemon === daemon || (server !== undefined && one.servers.has(server)));
    },
  };
}
