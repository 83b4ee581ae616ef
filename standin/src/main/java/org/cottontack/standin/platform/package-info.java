/** Stand-in of the platform's table service and list of instances, with simulated faults. */
package org.cottontack.standin.platform;
