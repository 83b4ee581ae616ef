/** Endpoints over HTTP. */
package org.cottontack.adapters.request;
