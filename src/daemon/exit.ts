/** Exit codes of the daemon. */

/** Stopped on request. */
export const EXIT_OK = 0;
/** Ended by an uncaught exception. */
export const EXIT_FAULT = 1;
/** Invalid settings. */
export const EXIT_SETTINGS = 2;
