/**
 * Enables roarr, which reads this environment variable once when it is loaded and otherwise drops all lines. Must be
 * imported before roarr.
 */
process.env.ROARR_LOG = 'true';
