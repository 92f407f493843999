/** Returns a shallow copy of `value` without `key`. */
export function omit<T extends object, K extends keyof T>(value: T, key: K): Omit<T, K> {
  const copy: Partial<T> = { ...value };
  Reflect.deleteProperty(copy, key);
  return copy as Omit<T, K>;
}
