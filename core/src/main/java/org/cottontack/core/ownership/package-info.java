/** Leases and epochs that decide which entry instance acts for a worker or an endpoint. */
package org.cottontack.core.ownership;
