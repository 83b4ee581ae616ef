/** Other entry instances over TCP with protobuf. */
package org.cottontack.adapters.peer;
