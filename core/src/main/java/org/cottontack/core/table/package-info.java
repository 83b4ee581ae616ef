/** The operators' table, its validation and its distribution to all processes. */
package org.cottontack.core.table;
