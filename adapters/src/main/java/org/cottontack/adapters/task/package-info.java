/** Workers over HTTP. */
package org.cottontack.adapters.task;
