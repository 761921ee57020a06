/** What one host does at a time, for all. */
export * from './dutyHandover.js';
export * from './leaseGuard.js';
export * from './pauseDetector.js';
