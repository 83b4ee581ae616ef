/** Stand-in of an endpoint, with simulated faults. */
package org.cottontack.standin.endpoint;
