/** A small HTTP server and client that use Netty's codec. */
package org.cottontack.adapters.http;
