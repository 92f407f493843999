/** Names that a header can have (RFC 9110, 5.1). A parser passes on others, which Node refuses to write. */

const TOKEN = /^[!#$%&'*+\-.^_`|~\w]+$/;

/** The first name that no header can have, of alternating names and values. */
export function findUnwritableName(rawHeaders: readonly string[]): string | undefined {
  return rawHeaders.find((name, i) => i % 2 === 0 && !TOKEN.test(name));
}
