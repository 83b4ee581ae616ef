/** Metrics of this process. */
package org.cottontack.daemon.metrics;
