/** Conversion of the operators' table from and to YAML or JSON text. */
package org.cottontack.adapters.table;
