/** Access to the platform's table service over HTTP. */
package org.cottontack.adapters.store;
