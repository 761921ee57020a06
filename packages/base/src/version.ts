/** The version of all programs, which hosts report to their peers. */
export const PROGRAM_VERSION = '0.1.0';
