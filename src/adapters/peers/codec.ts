/** CBOR frames on a byte stream; CBOR items are self-delimiting. */

import { DecoderStream, Encoder, setSizeLimits } from 'cbor-x';

/** Maximum frame size; fits a complete configuration document. */
export const MAX_FRAME_BYTES = 2_000_000;
/** Maximum elements per array or map, so that a short header cannot cause a huge allocation. */
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

/** A transform stream from bytes to frames; errors on an invalid or too large frame. */
export function createFrameDecoder(maxFrameBytes = MAX_FRAME_BYTES): DecoderStream {
  return new DecoderStream({ useRecords: false, maxIncompleteBufferSize: maxFrameBytes });
}
