/** Orders to workers over HTTP. */
package org.cottontack.adapters.task;
