/** A binary heap that can remove or update any item in O(log n). */

import type { Heap } from './types';

/** Creates an empty heap; `before` is the order, the first item is at the top. */
export function createHeap<T>(before: (a: T, b: T) => boolean): Heap<T> {
  return { items: [], places: new Map(), before };
}

/** The first item, left in the heap. */
export function peek<T>(heap: Heap<T>): T | undefined {
  return heap.items[0];
}

/** Adds an item that is not in the heap yet. */
export function push<T>(heap: Heap<T>, item: T): void {
  heap.items.push(item);
  siftUp(heap, item, heap.items.length - 1);
}

/** Removes an item; false if it was not in the heap. */
export function remove<T>(heap: Heap<T>, item: T): boolean {
  const index = heap.places.get(item);
  if (index === undefined) return false;
  heap.places.delete(item);
  const last = heap.items.pop();
  if (last === undefined || index === heap.items.length) return true;
  reposition(heap, last, index);
  return true;
}

/**
 * Restores the heap order after an item's key changed; does nothing if the item is not in the heap.
 */
export function update<T>(heap: Heap<T>, item: T): void {
  const index = heap.places.get(item);
  if (index !== undefined) reposition(heap, item, index);
}

function put<T>(heap: Heap<T>, item: T, index: number): void {
  heap.items[index] = item;
  heap.places.set(item, index);
}

function reposition<T>(heap: Heap<T>, item: T, index: number): void {
  if (siftUp(heap, item, index) === index) siftDown(heap, item, index);
}

function siftUp<T>(heap: Heap<T>, item: T, from: number): number {
  let index = from;
  while (index > 0) {
    const parentIndex = (index - 1) >> 1;
    const parent = heap.items[parentIndex];
    if (parent === undefined || !heap.before(item, parent)) break;
    put(heap, parent, index);
    index = parentIndex;
  }
  put(heap, item, index);
  return index;
}

function siftDown<T>(heap: Heap<T>, item: T, from: number): void {
  let index = from;
  for (;;) {
    const child = smallerChild(heap, index);
    const below = child === undefined ? undefined : heap.items[child];
    if (child === undefined || below === undefined || !heap.before(below, item)) break;
    put(heap, below, index);
    index = child;
  }
  put(heap, item, index);
}

function smallerChild<T>(heap: Heap<T>, index: number): number | undefined {
  const left = 2 * index + 1;
  const a = heap.items[left];
  const b = heap.items[left + 1];
  if (a === undefined) return undefined;
  return b !== undefined && heap.before(b, a) ? left + 1 : left;
}
