/** Names of groups tell their purpose, so that a new leader knows it without any other record. */

import type { GroupId } from '../../ids';

/** Groups of this name are one warm server each and never serve. */
export const STANDBY_PREFIX = 'standby-';
/** Groups that serve. */
export const GROUP_PREFIX = 'group-';

export function isStandby(group: GroupId): boolean {
  return group.startsWith(STANDBY_PREFIX);
}
