/** Messages between entry instances. */
package org.cottontack.core.peer;
