/** Branded ids and instants: distinct types at compile time, without cost at run time. */

declare const brand: unique symbol;

/** A `T` that only a cast or `brandAs` creates. */
export type Brand<T, B extends string> = T & { readonly [brand]: B };

export type OrganisationId = Brand<string, 'OrganisationId'>;
export type InstanceId = Brand<string, 'InstanceId'>;
/** The name that a backend server gives itself; the same after each restart. */
export type ServerName = Brand<string, 'ServerName'>;
export type DomainId = Brand<string, 'DomainId'>;
export type ZoneId = Brand<string, 'ZoneId'>;
export type ModelId = Brand<string, 'ModelId'>;
export type ServiceId = Brand<string, 'ServiceId'>;
export type GroupId = Brand<string, 'GroupId'>;
export type DaemonId = Brand<string, 'DaemonId'>;
export type RequestId = Brand<string, 'RequestId'>;
export type AttemptId = Brand<string, 'AttemptId'>;
export type ChangeId = Brand<string, 'ChangeId'>;
/** Hash of organisation, model and body: equal for the same request sent again. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
/** Increases each time a group's members change. */
export type Epoch = Brand<number, 'Epoch'>;
/** Increases each time a lease changes hands. */
export type FencingNumber = Brand<number, 'FencingNumber'>;
/** Increases by one with each accepted configuration. */
export type ConfigVersion = Brand<number, 'ConfigVersion'>;
/** Milliseconds on this process's monotonic clock; never leaves the process. */
export type MonoTime = Brand<number, 'MonoTime'>;
/** Milliseconds since the Unix epoch; used on the wire and in rows. */
export type EpochTime = Brand<number, 'EpochTime'>;

/** Brands a validated value: the usual way in which a plain value becomes an id. */
export function brandAs<T extends Brand<string | number, string>>(
  value: T extends string ? string : number,
): T {
  return value as unknown as T;
}

/** The instant `ms` milliseconds after `time`, on the same clock. */
export function later<T extends MonoTime | EpochTime>(time: T, ms: number): T {
  return (time + ms) as T;
}
