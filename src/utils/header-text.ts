/** Which texts a header of HTTP can hold. */

const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

/** Whether a header can hold the text as one word: it is sent, parsed and listed without any change. */
export function isHeaderToken(text: string): boolean {
  return VISIBLE_ASCII.test(text);
}

const DELETE = 0x7f;
const SPACE = 0x20;

/**
 * The text as the value of a header, for Node, which writes each character as one byte: in UTF-8, as other programs
 * read it. Undefined if no header can hold it: control characters end or spoil the header, parsers drop spaces at
 * both ends, and a lone surrogate has no bytes.
 */
export function encodeHeaderText(text: string): string | undefined {
  if (isHeaderToken(text)) return text;
  if (text === '' || text.startsWith(' ') || text.endsWith(' ')) return undefined;
  const bytes = Buffer.from(text);
  if (bytes.some((byte) => byte < SPACE || byte === DELETE)) return undefined;
  return bytes.toString() === text ? bytes.toString('latin1') : undefined;
}
