/**
 * Says from the log lines of entry instances where the time of jobs went: of one job, or of all
 * jobs of a span, by queue and cause.
 */
package org.cottontack.ctl.explain;
