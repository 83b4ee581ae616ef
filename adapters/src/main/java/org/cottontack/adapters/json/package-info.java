/** JSON mapping of the values stored in the platform's table service. */
package org.cottontack.adapters.json;
