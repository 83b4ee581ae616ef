/** Leases and epochs that determine which entry instance owns a worker or an endpoint. */
package org.cottontack.core.ownership;
