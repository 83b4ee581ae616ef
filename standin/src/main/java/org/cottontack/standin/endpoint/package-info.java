/** A stand-in of endpoints. */
package org.cottontack.standin.endpoint;
