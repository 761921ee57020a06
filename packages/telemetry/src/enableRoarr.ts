/**
 * Turns roarr on. It decides once, when it is loaded, by an environment variable; without it every line is
 * dropped in silence. Import this module before roarr.
 */
process.env.ROARR_LOG = 'true';
