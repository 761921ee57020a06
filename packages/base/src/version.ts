export const PROGRAM_VERSION = '0.1.0';
