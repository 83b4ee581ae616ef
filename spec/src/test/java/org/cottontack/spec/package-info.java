/** Checks the Alloy models of the core protocol. */
package org.cottontack.spec;
