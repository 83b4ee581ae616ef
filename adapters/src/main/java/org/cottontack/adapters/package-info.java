/** Adapters between the core's effects and events and the outside. */
package org.cottontack.adapters;
