/** A binary heap that finds and takes out any item in O(log n). */

import type { Heap } from './types';

export function createHeap<T>(before: (a: T, b: T) => boolean): Heap<T> {
  return { items: [], places: new Map(), before };
}

export function peek<T>(heap: Heap<T>): T | undefined {
  return heap.items[0];
}

export function push<T>(heap: Heap<T>, item: T): void {
  heap.items.push(item);
  rise(heap, item, heap.items.length - 1);
}

/** Takes an item out; false if it was not in. */
export function remove<T>(heap: Heap<T>, item: T): boolean {
  const place = heap.places.get(item);
  if (place === undefined) return false;
  heap.places.delete(item);
  const last = heap.items.pop();
  if (last === undefined || place === heap.items.length) return true;
  settle(heap, last, place);
  return true;
}

/** Puts an item in its place again after its key changed; does nothing if it is not in. */
export function update<T>(heap: Heap<T>, item: T): void {
  const place = heap.places.get(item);
  if (place !== undefined) settle(heap, item, place);
}

function put<T>(heap: Heap<T>, item: T, place: number): void {
  heap.items[place] = item;
  heap.places.set(item, place);
}

function settle<T>(heap: Heap<T>, item: T, place: number): void {
  if (rise(heap, item, place) === place) sink(heap, item, place);
}

function rise<T>(heap: Heap<T>, item: T, from: number): number {
  let place = from;
  while (place > 0) {
    const above = (place - 1) >> 1;
    const parent = heap.items[above];
    if (parent === undefined || !heap.before(item, parent)) break;
    put(heap, parent, place);
    place = above;
  }
  put(heap, item, place);
  return place;
}

function sink<T>(heap: Heap<T>, item: T, from: number): void {
  let place = from;
  for (;;) {
    const child = smallerChild(heap, place);
    const below = child === undefined ? undefined : heap.items[child];
    if (child === undefined || below === undefined || !heap.before(below, item)) break;
    put(heap, below, place);
    place = child;
  }
  put(heap, item, place);
}

function smallerChild<T>(heap: Heap<T>, place: number): number | undefined {
  const left = 2 * place + 1;
  const a = heap.items[left];
  const b = heap.items[left + 1];
  if (a === undefined) return undefined;
  return b !== undefined && heap.before(b, a) ? left + 1 : left;
}
