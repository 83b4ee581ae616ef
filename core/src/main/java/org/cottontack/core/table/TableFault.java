package org.cottontack.core.table;

/**
 * Something wrong in a table.
 *
 * @param place the row or team, or "table"
 * @param column the column
 * @param problem what is wrong and what would be right
 */
public record TableFault(String place, String column, String problem) {

  @Override
  public String toString() {
    return place + ", column " + column + ": " + problem;
  }
}
