/** JSON forms of what the platform's table service keeps. */
package org.cottontack.adapters.json;
