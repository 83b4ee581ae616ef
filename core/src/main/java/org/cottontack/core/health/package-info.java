/** Rates workers by the outcome and the speed of their runs. */
package org.cottontack.core.health;
