package org.cottontack.core.table;

/**
 * A fault of a table.
 *
 * @param place the row or team that has the fault, or "table"
 * @param column the column that has the fault
 * @param problem the fault and the values that would be valid
 */
public record TableFault(String place, String column, String problem) {

  @Override
  public String toString() {
    return place + ", column " + column + ": " + problem;
  }
}
