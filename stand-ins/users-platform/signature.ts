/** Signatures of the stand-in servers' answers. */

/** Signature header of a response: identifies the server and the request. */
export function signatureOf(server: string, requestId: string): string {
  return `${server}.${requestId}`;
}
