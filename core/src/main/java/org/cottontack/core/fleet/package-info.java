/** Workers and endpoints as the platform lists them and as they report themselves. */
package org.cottontack.core.fleet;
