/** Stand-in of a worker, with simulated faults. */
package org.cottontack.standin.worker;
