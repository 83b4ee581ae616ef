/** What callers and operators reach over HTTP. */
package org.cottontack.daemon.http;
