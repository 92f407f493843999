/**
 * The control plane of one daemon: domain leases, group observation and group formation. Events from
 * the table, the instance list, probes, gossip and the clock are fed to reducers, whose effects are
 * sent as orders to engines and transactions on the table.
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
import { createDomainInputs } from './domain-inputs';
import { logFailure, settleCall } from './context';
import type { ControlDeps } from './context';
import { createOnDemandProbes } from './on-demand-probes';
import { createDirectory } from './directory';
import { createPeriodicTasks } from './periodic-tasks';
import { createHeldDomains } from './held-domains';
import { createLeases } from './leases';
import { createShortfallMetrics } from './shortfall-metrics';
import { createControlGossip } from './gossip';
import { createProbes } from './probes';
import { createRoles } from './roles';
import { INITIAL_SIZE, intervalsFor } from './settings';
import type { Intervals } from './settings';
import { createContext, plansOf, unknownInstanceError } from './setup';
import { statusOf } from './status';
import { createStore } from './store';
import { createWatches } from './watches';
import type { WatchChange } from './watches';
import { createView } from './view';

export type { ControlDeps } from './context';
export type { ControlOverrides } from './settings';

/** The control part, with a tick for callers that drive time themselves. */
export interface ControlPlane extends ControlPart {
  /** Checks all deadlines once. `start` calls it every `tickMs` unless given other `ticks`. */
  tick(): void;
  /** Domains whose lease this daemon validly holds now. */
  heldDomains(): readonly DomainId[];
}

export interface ControlOptions {
  /** Source of ticks; defaults to a timer with period `tickMs`. */
  readonly ticks?: Observable<unknown>;
}

/** Interval at which `stop` checks whether all leases are released. */
const RELEASE_POLL_MS = 20;

type TaskName = 'list' | 'leases' | 'groups' | 'roles' | 'brief' | 'state';

/** Creates the control part; call `start` before use. */
export function createControl(deps: ControlDeps, options: ControlOptions = {}): ControlPlane {
  const ctx = createContext(deps);
  const { clock, settings } = ctx;
  const store = createStore(ctx.table);
  const watches = createWatches(ctx);
  const leases = createLeases(ctx, store);
  const shortfall = createShortfallMetrics(ctx);
  const subscription = new Subscription();
  const tasks = createPeriodicTasks<TaskName>();
  let scanning = false;
  let plansInForce: Readonly<Record<ModelId, ModelPlan>> = {};
  let intervals: Intervals = intervalsFor(settings, INITIAL_SIZE);

  const reported = (report: EngineReport, sentAt: MonoTime): void => {
    for (const state of heldDomains.all()) {
      if (!state.instances[report.instance]) continue;
      heldDomains.dispatch(state.domain, {
        kind: 'reported',
        instance: report.instance,
        report,
        sentAt,
      });
    }
    watches.reported(report, sentAt, later(sentAt, intervals.probeValidMs));
    if (report.leaving) announceLeaving(report.instance);
  };

  const silent = (instance: InstanceId, sentAt: MonoTime): void => {
    heldDomains.dispatchAll({ kind: 'silent', instance, sentAt });
    watches.silent(instance, sentAt);
  };

  /** Marks the instance and publishes it by gossip, the first time only. */
  const announceLeaving = (instance: InstanceId): void => {
    if (directory.isMarkedLeaving(instance)) return;
    markLeaving(instance);
    gossip.leaving(instance);
  };

  const markLeaving = (instance: InstanceId): void => {
    directory.markLeaving(instance);
    heldDomains.dispatchAll({ kind: 'drain', instance });
    watches.tick(directory.isLeaving);
  };

  const directory = createDirectory(ctx, () => {
    for (const [domain, zone] of directory.domains()) {
      if (!leases.hasDomain(domain)) tasks.markDue('leases');
      leases.addDomain(domain, zone);
    }
    // Only listers publish it: one gossip entry from each daemon would be too many.
    const mark = roles.isLister() ? announceLeaving : markLeaving;
    for (const { id, leaving } of directory.instances()) {
      if (leaving && !directory.isMarkedLeaving(id)) mark(id);
    }
    domainInputs.updateAll();
    watches.tick(directory.isLeaving);
  });

  const heldDomains = createHeldDomains(ctx, store, leases, {
    onGroupWritten: (written) => {
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
      gossip.publishRow(written);
      tasks.markDue('brief');
    },
    onReport: reported,
    onConflict: () => {
      tasks.markDue('groups');
    },
    onDrainRequested: (instances) => {
      for (const instance of instances) announceLeaving(instance);
    },
    onAcquired: (domain) => {
      domainInputs.update(domain);
    },
  });

  const probes = createProbes(ctx, { reported, silent });
  const onDemandProbes = createOnDemandProbes(ctx, probes);
  const view = createView(ctx, watches, onDemandProbes);
  const roles = createRoles(ctx, directory, leases, watches);
  const gossip = createControlGossip(ctx, watches, {
    leaving: markLeaving,
    vouched: (group, domain, until) => {
      heldDomains.dispatch(domain, { kind: 'vouched', group, until });
    },
  });

  const plans = () => plansInForce;
  const domainInputs = createDomainInputs({ heldDomains, directory, watches, news: gossip, plans });

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
        tasks.markDue('brief');
        tasks.markDue('roles');
      },
      (err) => {
        scanning = false;
        logFailure(ctx, err);
      },
    );
  };

  const updateProbes = (): void => {
    probes.assign(roles.targets());
    intervals = intervalsFor(settings, {
      probedInstances: probes.assignedCount,
      peers: ctx.membership.peers().length,
      listedInstances: directory.instances().length,
      groupMembers: watches.all().reduce((sum, { row }) => sum + row.members.length, 0),
      isLister: roles.isLister(),
    });
    view.trackForming();
  };

  const publishState = (): void => {
    const watched = watches.all().filter(({ id }) => roles.observes(id));
    gossip.state(watched, intervals.statementExtraMs);
    for (const state of heldDomains.all()) gossip.loads(state);
    shortfall.add(heldDomains.all());
  };

  const onWatchChange = (change: WatchChange): void => {
    view.onWatchChange(change);
    if (change.kind === 'ready') return;
    const state = watches.get(change.group);
    const shouldWarn = state?.distrustedAt !== undefined && !state.warning;
    if (shouldWarn && roles.observes(change.group)) gossip.warn(change.group, change.epoch);
  };

  /** Varies an interval by ±25%: daemons that start or recover together must not poll in step. */
  const jittered = (ms: number): number => ms * (0.75 + ctx.random.next() / 2);

  const tick = (): void => {
    const now = clock.now();
    tasks.runIfDue('list', now, jittered(intervals.listMs), directory.poll);
    tasks.runIfDue('leases', now, jittered(intervals.leaseMs), leases.poll);
    tasks.runIfDue('groups', now, jittered(intervals.pollMs), pollGroups);
    leases.tick();
    heldDomains.sync();
    tasks.runIfDue('roles', now, settings.statementMs, updateProbes);
    tasks.runIfDue('brief', now, settings.statementMs, domainInputs.updateAll);
    tasks.runIfDue('state', now, intervals.statementMs, publishState);
    probes.tick(intervals.probeMs);
    onDemandProbes.tick(watches.get);
    heldDomains.tick();
    watches.tick(directory.isLeaving);
  };

  const release = async (): Promise<void> => {
    for (let waited = 0; waited < settings.stopTimeoutMs; waited += RELEASE_POLL_MS) {
      leases.release();
      heldDomains.sync();
      if (leases.isReleased() && ctx.inFlight.size === 0) return;
      await pause(RELEASE_POLL_MS);
    }
  };

  return {
    ...view,
    start: () => {
      subscription.add(watches.changes.subscribe(onWatchChange));
      subscription.add(
        ctx.config.changes.subscribe((config) => {
          plansInForce = plansOf(config);
          watches.rebuildEntries();
          domainInputs.updateAll();
        }),
      );
      gossip.start();
      const ticks = options.ticks ?? interval(settings.tickMs);
      subscription.add(ticks.subscribe(tick));
      return Promise.resolve();
    },
    stop: async () => {
      gossip.stop();
      subscription.unsubscribe();
      await release();
    },
    tick,
    heldDomains: () => leases.domains().filter((domain) => leases.heldLease(domain) !== undefined),
    drainInstance: (instance) => {
      if (!directory.has(instance)) {
        return errAsync(unknownInstanceError(instance));
      }
      announceLeaving(instance);
      return store.markDrained(instance);
    },
    status: () =>
      statusOf(ctx, {
        leases,
        watches,
        directory,
        heldDomains: heldDomains.all(),
        totals: shortfall.totals(),
        pace: intervals,
        probedInstances: probes.assignedCount,
      }),
  };
}
