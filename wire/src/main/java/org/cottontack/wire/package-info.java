/** Turns the core's messages between entry instances into protobuf and back. */
package org.cottontack.wire;
