/** The operators' table as YAML or JSON text. */
package org.cottontack.adapters.table;
