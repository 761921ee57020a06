/**
 * Enables roarr, which reads this variable when it is loaded and otherwise drops every line silently. Must be imported
 * before roarr.
 */
process.env.ROARR_LOG = 'true';
