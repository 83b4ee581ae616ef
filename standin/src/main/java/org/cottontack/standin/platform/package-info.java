/** A stand-in of the platform's table service and list of instances. */
package org.cottontack.standin.platform;
