/** Which parts of load control are in force in a deployment. */
package org.cottontack.core.load;
