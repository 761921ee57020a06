/**
 * Enables roarr, which reads this variable when it is loaded. Must be imported before roarr.
 */
process.env.ROARR_LOG = 'true';
