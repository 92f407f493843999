/**
 * Calls `action` once the event loop has read its sockets again. An immediate runs after the reads of the current
 * turn, which may have begun before now; the one after it follows the reads of the next turn.
 */
export function afterNextRead(action: () => void): void {
  setImmediate(() => {
    setImmediate(action);
  });
}
