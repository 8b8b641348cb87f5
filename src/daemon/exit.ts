/** Exit codes of the daemon. */

/** After a stop that was asked for. */
export const EXIT_OK = 0;
/** After a fault of its own. */
export const EXIT_FAULT = 1;
/** For settings that cannot be used. */
export const EXIT_SETTINGS = 2;
