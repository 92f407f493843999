/**
 * The control plane of one daemon: leases, observation, groups. Events come in from the table, the
 * instance list, probes, gossip and the clock; reducers decide; orders and transactions go out.
 */

import { errAsync } from 'neverthrow';
import { Subscription, interval } from 'rxjs';
import type { Observable } from 'rxjs';

import type { ModelPlan } from '../../core/groups/domain-types';
import type { EngineReport } from '../../core/groups/types';
import { later } from '../../core/ids';
import type { DomainId, InstanceId, ModelId, MonoTime } from '../../core/ids';
import { pause } from '../../utils/pause';
import type { ControlPart } from '../parts';
import { createBriefing } from './briefing';
import { logFailure, settleCall } from './context';
import type { ControlDeps } from './context';
import { createDemand } from './demand';
import { createDirectory } from './directory';
import { createDue } from './due';
import { createHolders } from './holders';
import { createLeases } from './leases';
import { createMeasures } from './measures';
import { createNews } from './news';
import { createProbes } from './probes';
import { createRoles } from './roles';
import { NO_LOAD, paceOf } from './settings';
import type { Pace } from './settings';
import { contextOf, plansOf, unknownInstance } from './setup';
import { statusOf } from './status';
import { createStore } from './store';
import { createWatches } from './watches';
import type { WatchChange } from './watches';
import { createView } from './view';

export type { ControlDeps } from './context';
export type { ControlOverrides } from './settings';

/** Beside the part itself, a tick for those who bring their own clock. */
export interface DrivenControl extends ControlPart {
  /** One look at all deadlines. `start` calls it every `tickMs` unless told not to. */
  tick(): void;
  /** Domains that this daemon may decide for at this instant. */
  heldDomains(): readonly DomainId[];
}

export interface ControlOptions {
  /** What drives the ticks; left out: the event loop's timer. */
  readonly ticks?: Observable<unknown>;
}

/** Between two looks at whether all leases are handed back. */
const RELEASE_LOOK_MS = 20;

type Work = 'list' | 'leases' | 'groups' | 'roles' | 'brief' | 'state';

export function createControl(deps: ControlDeps, options: ControlOptions = {}): DrivenControl {
  const ctx = contextOf(deps);
  const { clock, settings } = ctx;
  const store = createStore(ctx.table);
  const watches = createWatches(ctx);
  const leases = createLeases(ctx, store);
  const measures = createMeasures(ctx);
  const subscription = new Subscription();
  const due = createDue<Work>();
  let scanning = false;
  let plansInForce: Readonly<Record<ModelId, ModelPlan>> = {};
  let pace: Pace = paceOf(settings, NO_LOAD);

  const reported = (report: EngineReport, sentAt: MonoTime): void => {
    for (const state of holders.all()) {
      if (!state.instances[report.instance]) continue;
      holders.tell(state.domain, { kind: 'reported', instance: report.instance, report, sentAt });
    }
    watches.reported(report, sentAt, later(sentAt, pace.freshMs));
    if (report.leaving) leave(report.instance);
  };

  const silent = (instance: InstanceId, sentAt: MonoTime): void => {
    holders.tellAll({ kind: 'silent', instance, sentAt });
    watches.silent(instance, sentAt);
  };

  /** Tells all, the first time that this daemon hears of it. */
  const leave = (instance: InstanceId): void => {
    if (directory.isMarked(instance)) return;
    markLeaving(instance);
    news.leaving(instance);
  };

  const markLeaving = (instance: InstanceId): void => {
    directory.markLeaving(instance);
    holders.tellAll({ kind: 'drain', instance });
    watches.tick(directory.isLeaving);
  };

  const directory = createDirectory(ctx, () => {
    for (const [domain, zone] of directory.domains()) {
      if (!leases.isKnown(domain)) due.now('leases');
      leases.know(domain, zone);
    }
    // The others hear of it from the listers: one entry of gossip for each daemon is too many.
    const tellAll = roles.isLister() ? leave : markLeaving;
    for (const { id, leaving } of directory.instances()) {
      if (leaving && !directory.isMarked(id)) tellAll(id);
    }
    briefing.all();
    watches.tick(directory.isLeaving);
  });

  const holders = createHolders(ctx, store, leases, {
    wrote: (written) => {
      ctx.logger.info('group changed', {
        step: 'group',
        group: written.row.id,
        model: written.row.model,
        epoch: written.row.epoch,
        phase: written.gone ? 'dissolved' : written.row.phase,
        reason: written.reason,
      });
      if (written.gone) watches.drop(written.row);
      else watches.put(written.row, written.version);
      news.wrote(written);
      due.now('brief');
    },
    reported,
    conflicted: () => {
      due.now('groups');
    },
    drained: (instances) => {
      for (const instance of instances) leave(instance);
    },
    began: (domain) => {
      briefing.one(domain);
    },
  });

  const probes = createProbes(ctx, { reported, silent });
  const demand = createDemand(ctx, probes);
  const view = createView(ctx, watches, demand);
  const roles = createRoles(ctx, directory, leases, watches);
  const news = createNews(ctx, watches, {
    leaving: markLeaving,
    vouched: (group, domain, until) => {
      holders.tell(domain, { kind: 'vouched', group, until });
    },
  });

  const plans = () => plansInForce;
  const briefing = createBriefing({ holders, directory, watches, news, plans });

  const pollGroups = (): void => {
    if (scanning) return;
    scanning = true;
    const since = clock.now();
    settleCall(
      ctx,
      store.scanGroups(),
      (rows) => {
        scanning = false;
        watches.sync(rows, since);
        due.now('brief');
        due.now('roles');
      },
      (err) => {
        scanning = false;
        logFailure(ctx, err);
      },
    );
  };

  const assign = (): void => {
    probes.assign(roles.targets());
    pace = paceOf(settings, {
      probed: probes.assigned,
      peers: ctx.membership.peers().length,
      listed: directory.instances().length,
      grouped: watches.all().reduce((sum, { row }) => sum + row.members.length, 0),
      isLister: roles.isLister(),
    });
    view.refresh();
  };

  const stateNews = (): void => {
    const watched = watches.all().filter(({ id }) => roles.observes(id));
    news.state(watched, pace.statedExtraMs);
    for (const state of holders.all()) news.loads(state);
    measures.add(holders.all());
  };

  const onChange = (change: WatchChange): void => {
    view.note(change);
    if (change.kind === 'ready') return;
    const state = watches.get(change.group);
    const isBad = state?.distrustedAt !== undefined && !state.warning;
    if (isBad && roles.observes(change.group)) news.warn(change.group, change.epoch);
  };

  /** Spread by chance, so that daemons which start or recover together don't poll in step. */
  const jittered = (ms: number): number => ms * (0.75 + ctx.random.next() / 2);

  const tick = (): void => {
    const now = clock.now();
    due.run('list', now, jittered(pace.listMs), directory.poll);
    due.run('leases', now, jittered(pace.leaseMs), leases.poll);
    due.run('groups', now, jittered(pace.pollMs), pollGroups);
    leases.tick();
    holders.sync();
    due.run('roles', now, settings.stateMs, assign);
    due.run('brief', now, settings.stateMs, briefing.all);
    due.run('state', now, pace.stateMs, stateNews);
    probes.tick(pace.probeMs);
    demand.tick(watches.get);
    holders.tick();
    watches.tick(directory.isLeaving);
  };

  const release = async (): Promise<void> => {
    for (let waited = 0; waited < settings.stopMs; waited += RELEASE_LOOK_MS) {
      leases.release();
      holders.sync();
      if (leases.isReleased() && ctx.inFlight.size === 0) return;
      await pause(RELEASE_LOOK_MS);
    }
  };

  return {
    ...view,
    start: () => {
      subscription.add(watches.changes.subscribe(onChange));
      subscription.add(
        ctx.config.changes.subscribe((config) => {
          plansInForce = plansOf(config);
          watches.refresh();
          briefing.all();
        }),
      );
      news.start();
      const ticks = options.ticks ?? interval(settings.tickMs);
      subscription.add(ticks.subscribe(tick));
      return Promise.resolve();
    },
    stop: async () => {
      news.stop();
      subscription.unsubscribe();
      await release();
    },
    tick,
    heldDomains: () => leases.domains().filter((domain) => leases.held(domain) !== undefined),
    drainInstance: (instance) => {
      if (!directory.has(instance)) {
        return errAsync(unknownInstance(instance));
      }
      leave(instance);
      return store.markDrained(instance);
    },
    status: () =>
      statusOf(ctx, {
        leases,
        watches,
        directory,
        held: holders.all(),
        totals: measures.totals(),
        pace,
        probed: probes.assigned,
      }),
  };
}
