/** Asks the members of a group and some other servers for reports, all at the same time. */

import { judgeLook } from '../../core/gateway/loss-evidence';
import type { Answer, Look, LookResult, ReferenceAnswer } from '../../core/gateway/loss-evidence';
import type { BackendServer } from '../../core/gateway/types';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import type { Clock } from '../../ports/runtime';
import type { StepError } from '../../utils/errors';
import { createRunTimer } from './run-timer';

/** A server that is asked for comparison. */
export interface Reference {
  readonly server: BackendServer;
  readonly isFar: boolean;
}

export interface LookSubjects {
  readonly members: readonly BackendServer[];
  readonly references: readonly Reference[];
  /** Minimum time of the look, milliseconds. */
  readonly minMs: number;
}

export interface FinishedLook {
  readonly look: Look;
  readonly result: Exclude<LookResult, 'open'>;
}

export interface MemberLooks {
  /** Asks once more. Members that have ended are not asked. */
  take(subjects: LookSubjects): Promise<FinishedLook>;
  /** Asks one server outside the usual order. */
  ask(server: BackendServer): void;
  longestDelayMs(): number;
}

export interface MemberLooksOptions {
  readonly clock: Clock;
  readonly servers: Pick<Servers, 'report'>;
  /** Called when members have not answered the first request while others have. */
  readonly onSlow: (members: readonly BackendServer[]) => void;
  /** Whether a server whose port refuses this daemon has ended, as far as peers can tell. */
  readonly hasEnded: (server: BackendServer) => Promise<boolean>;
  /** Called at once when a server turns out to have ended. */
  readonly onEnded: (server: BackendServer) => void;
}

/** Requests stay open beyond the end of a look: a late answer still shows that the server is there. */
const REPORT_TIMEOUT_MS = 2_500;
/** Open requests to one server: more would fill a slow link further. */
const MAX_OPEN = 2;
/** After this time a second request is sent on a connection of its own, in case a packet was lost. */
const REPEAT_MS = 90;

/** Codes of errors that show that the server's process has ended. */
const ENDED_CODES: ReadonlySet<StepError['code']> = new Set(['backend-refused', 'backend-lost']);

/** Whether the error shows that the server's process has ended. */
export function isEnded({ code }: StepError): boolean {
  return ENDED_CODES.has(code);
}

export function createMemberLooks({
  clock,
  servers,
  onSlow,
  hasEnded,
  onEnded,
}: MemberLooksOptions): MemberLooks {
  const timer = createRunTimer(clock);
  const ended = new Set<InstanceId>();
  /** Servers that refused, while peers are asked about them and after they have ended. */
  const checked = new Set<InstanceId>();
  /** Answers within the current look, whenever they were asked for. */
  let answers = new Map<InstanceId, Answer>();
  /** When each server was first asked since its last answer. */
  const silentSince = new Map<InstanceId, MonoTime>();
  /** Requests without an answer or a failure yet. */
  const open = new Map<InstanceId, number>();
  let hasRepeated = false;

  const noteAnswered = ({ id }: BackendServer, ms: number): void => {
    const known = answers.get(id);
    if (!known || known.ms < ms) answers.set(id, { kind: 'answered', ms });
    silentSince.delete(id);
    timer.wake();
  };

  const noteEnded = (server: BackendServer): void => {
    if (ended.has(server.id)) return;
    ended.add(server.id);
    onEnded(server);
    timer.wake();
  };

  /**
   * Another process at the port is certain; a refusal may concern this daemon alone. A report that is not understood
   * comes from a process that runs: it is no silence.
   */
  const noteFailed = async (
    server: BackendServer,
    { code }: StepError,
    ms: number,
  ): Promise<void> => {
    if (code === 'bad-answer') noteAnswered(server, ms);
    if (code === 'backend-lost') noteEnded(server);
    if (code !== 'backend-refused' || checked.has(server.id)) return;
    checked.add(server.id);
    if (await hasEnded(server)) noteEnded(server);
    else checked.delete(server.id);
  };

  const addOpen = ({ id }: BackendServer, by: 1 | -1): void => {
    open.set(id, (open.get(id) ?? 0) + by);
  };

  const ask = (server: BackendServer): void => {
    const askedAt = clock.now();
    if (!silentSince.has(server.id)) silentSince.set(server.id, askedAt);
    addOpen(server, 1);
    void servers.report(server, REPORT_TIMEOUT_MS).match(
      () => {
        addOpen(server, -1);
        noteAnswered(server, clock.now() - askedAt);
      },
      (err) => {
        addOpen(server, -1);
        void noteFailed(server, err, clock.now() - askedAt);
      },
    );
  };

  const mayAsk = ({ id }: BackendServer): boolean =>
    !ended.has(id) && !answers.has(id) && (open.get(id) ?? 0) < MAX_OPEN;

  const answerOf = ({ id }: BackendServer, now: MonoTime): Answer =>
    ended.has(id)
      ? { kind: 'ended', ms: 0 }
      : (answers.get(id) ?? { kind: 'silent', ms: now - (silentSince.get(id) ?? now) });

  const take = async ({ members, references, minMs }: LookSubjects): Promise<FinishedLook> => {
    const ranBefore = timer.ranMs();
    const asked = [...members, ...references.map(({ server }) => server)];
    const askSilent = (): void => {
      for (const server of asked.filter(mayAsk)) ask(server);
    };
    const observe = (): Look => {
      const now = clock.now();
      return {
        members: new Map(
          members
            .filter(({ id }) => !ended.has(id))
            .map((server) => [server.id, answerOf(server, now)]),
        ),
        references: references.map(({ server, isFar }): ReferenceAnswer => ({
          ...answerOf(server, now),
          isFar,
        })),
        ranMs: timer.ranMs() - ranBefore,
        minMs,
      };
    };
    answers = new Map();
    askSilent();
    for (;;) {
      await timer.step();
      const look = observe();
      const result = judgeLook(look);
      if (result !== 'open') return { look, result };
      if (hasRepeated || look.ranMs < REPEAT_MS) continue;
      hasRepeated = true;
      askSilent();
      const slow = members.filter(({ id }) => look.members.get(id)?.kind === 'silent');
      if (answers.size > 0) onSlow(slow);
    }
  };

  return { take, ask, longestDelayMs: () => timer.longestDelayMs() };
}
