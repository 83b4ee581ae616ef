/** Batch tasks: lifecycle, placement, leases and fencing. */
package org.cottontack.core.task;
