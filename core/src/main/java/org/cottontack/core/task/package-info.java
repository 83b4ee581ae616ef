/** Lifecycle, placement, leases and fencing of batch tasks. */
package org.cottontack.core.task;
