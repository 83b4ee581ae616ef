/** Adapters between the effects and events of the core and external systems. */
package org.cottontack.adapters;
