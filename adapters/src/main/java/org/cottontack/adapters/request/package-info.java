/** Requests to endpoints over HTTP. */
package org.cottontack.adapters.request;
