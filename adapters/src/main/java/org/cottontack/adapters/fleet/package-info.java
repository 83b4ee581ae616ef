/** Reads the platform's list of instances over HTTP. */
package org.cottontack.adapters.fleet;
