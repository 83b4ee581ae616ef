/** Admission, claims, routing and the three outcomes of requests. */
package org.cottontack.core.request;
