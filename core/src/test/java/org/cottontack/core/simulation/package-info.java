/** Simulated ports and a virtual clock, for tests of the real reducer. */
package org.cottontack.core.simulation;
