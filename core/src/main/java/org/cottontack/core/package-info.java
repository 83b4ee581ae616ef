/** The scheduler as one pure reducer: events in, new state and effects out. */
package org.cottontack.core;
