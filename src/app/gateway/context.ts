/** What every part of a gateway daemon uses. */

import type { Clock, Logger, Random } from '../../ports/runtime';
import type { Metrics } from '../../ports/telemetry';
import type { GatewaySettings } from './settings';

export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
