/** Conditional writes to the platform's table service, with lost answers resolved. */
package org.cottontack.core.store;
