/** The scheduler as a pure reducer: it takes events, and returns a new state and effects. */
package org.cottontack.core;
