/**
 * Estimates, without parsing, what a JSON text takes when it is parsed: a text of small values becomes objects of many
 * times its size.
 */

/** An object, list, string or number with the copies that a schema makes of it. */
const VALUE_BYTES = 128;
/** The text as a string, and the strings in it. */
const COPIES = 2;
/** Deeper nesting is no message of any protocol, and takes the parser's stack. */
const MAX_DEPTH = 64;

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const BACKSLASH = 0x5c;
const OPEN_LIST = 0x5b;
const CLOSE_LIST = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

/** Memory for the parsed value, without the given bytes; `too-deep` for a text that isn't worth parsing. */
export function jsonCostBytes(text: Buffer): number | 'too-deep' {
  let values = 1;
  let depth = 0;
  for (let i = 0; i < text.length; i++) {
    switch (text[i] ?? 0) {
      case QUOTE:
        i = endOfString(text, i);
        break;
      case COMMA:
      case COLON:
        values += 1;
        break;
      case OPEN_LIST:
      case OPEN_OBJECT:
        values += 1;
        depth += 1;
        if (depth > MAX_DEPTH) return 'too-deep';
        break;
      case CLOSE_LIST:
      case CLOSE_OBJECT:
        depth -= 1;
        break;
      default:
        break;
    }
  }
  return COPIES * text.length + values * VALUE_BYTES;
}

/** The position of the quote that ends the string which begins at `start`; the end of the text if there is none. */
function endOfString(text: Buffer, start: number): number {
  for (let at = text.indexOf(QUOTE, start + 1); at >= 0; at = text.indexOf(QUOTE, at + 1)) {
    let backslashes = 0;
    while (text[at - 1 - backslashes] === BACKSLASH) backslashes += 1;
    if (backslashes % 2 === 0) return at;
  }
  return text.length;
}
