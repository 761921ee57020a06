/**
 * Replaces `node:assert` in bundles. For a failed assertion without a message, Node.js parses the source for the text of
 * the condition. In a minified bundle, whose lines are very long, that takes the processor for good.
 */
'use strict';
const assert = globalThis.process.getBuiltinModule('node:assert');

const MESSAGE = 'assertion failed';

function ok(value, message = MESSAGE) {
  assert.ok(value, message);
}

module.exports = Object.assign(ok, assert, { ok });
module.exports.strict = Object.assign((value, message) => ok(value, message), assert.strict, { ok });
