/** The version of all programs; hosts tell it to their peers. */
export const PROGRAM_VERSION = '0.1.0';
