/** Metrics of the process and their text format. */
package org.cottontack.daemon.metrics;
