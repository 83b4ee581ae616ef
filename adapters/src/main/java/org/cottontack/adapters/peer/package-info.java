/** Messages between entry instances over TCP, encoded with protobuf. */
package org.cottontack.adapters.peer;
