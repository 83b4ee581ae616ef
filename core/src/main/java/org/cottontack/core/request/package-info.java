/** Requests: admission, claims, routing, and the three outcomes. */
package org.cottontack.core.request;
