/** Protobuf encoding of the messages between entry instances and of stored jobs. */
package org.cottontack.wire;
