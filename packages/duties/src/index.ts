/** Safety checks for duties that one host of the fleet performs at a time. */
export * from './dutyHandover.js';
export * from './leaseGuard.js';
export * from './pauseDetector.js';
