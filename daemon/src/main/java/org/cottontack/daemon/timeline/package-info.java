/** The recent events of this process in causal order, kept in memory. */
package org.cottontack.daemon.timeline;
