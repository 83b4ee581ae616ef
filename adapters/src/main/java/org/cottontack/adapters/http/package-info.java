/** A small HTTP server and client on Netty's codec. */
package org.cottontack.adapters.http;
