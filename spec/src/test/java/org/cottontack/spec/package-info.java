/** Checks the Alloy models of the core protocol and replays their traces. */
package org.cottontack.spec;
