/** The operators' table, its checks and its spread. */
package org.cottontack.core.table;
