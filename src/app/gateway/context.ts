/** Dependencies shared by all parts of a gateway daemon. */

import type { BehaviorSubject } from 'rxjs';

import type { Clock, Logger, Random } from '../../ports/runtime';
import type { Metrics } from '../../ports/telemetry';
import type { GatewaySettings, GatewayTunables } from './settings';
import type { StoreAccess } from './store-access';

export interface GatewayContext {
  readonly settings: GatewaySettings;
  /** Settings currently in force. */
  readonly tunables: BehaviorSubject<GatewayTunables>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: StoreAccess;
}
