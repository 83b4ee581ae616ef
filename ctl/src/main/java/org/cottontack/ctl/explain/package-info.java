/**
 * Determines from the log lines of entry instances what the time of jobs was spent on, for one job
 * or for all jobs of an interval by queue and cause.
 */
package org.cottontack.ctl.explain;
