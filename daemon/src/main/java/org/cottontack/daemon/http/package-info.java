/** HTTP routes for callers and operators. */
package org.cottontack.daemon.http;
