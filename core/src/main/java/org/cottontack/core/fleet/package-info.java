/** State of the workers and endpoints, from the platform's list and their own reports. */
package org.cottontack.core.fleet;
