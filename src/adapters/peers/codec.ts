/** CBOR frames on a byte stream; CBOR items delimit themselves. */

import { DecoderStream, Encoder, setSizeLimits } from 'cbor-x';

/** Largest frame: a whole configuration document fits. */
export const MAX_FRAME_BYTES = 2_000_000;
/** Elements of one array or map; a short header cannot make the decoder allocate more. */
const MAX_ELEMENTS = 100_000;

setSizeLimits({
  maxArraySize: MAX_ELEMENTS,
  maxMapSize: MAX_ELEMENTS,
  maxObjectSize: MAX_ELEMENTS,
});

const encoder = new Encoder({ useRecords: false });

export function encodeFrame(frame: unknown): Uint8Array {
  return encoder.encode(frame);
}

/** Bytes in, frames out; fails on a frame that is damaged or too large. */
export function createFrameDecoder(maxFrameBytes = MAX_FRAME_BYTES): DecoderStream {
  return new DecoderStream({ useRecords: false, maxIncompleteBufferSize: maxFrameBytes });
}
