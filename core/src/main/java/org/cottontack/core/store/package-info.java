/** Conditional writes to the platform's table service, with outcomes despite lost responses. */
package org.cottontack.core.store;
