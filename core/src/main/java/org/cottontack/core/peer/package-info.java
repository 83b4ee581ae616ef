/** Messages between entry instances, with their events and effects. */
package org.cottontack.core.peer;
