package org.cottontack.core.store;

import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.TaskId;

/**
 * The key of a row in the platform's table service.
 *
 * @param value a path; rows that are read together share a prefix
 */
public record StoreKey(String value) {

  /** Number of buckets among which the live tasks of a data centre are distributed. */
  public static final int BUCKETS = 64;

  private static final String ASSIGNMENT = "assignment";

  /** Returns the prefix of a data centre's assignment and leases. */
  public static String ownershipPrefix(DataCentreId dataCentre) {
    return "own/" + dataCentre + "/";
  }

  /** Returns the key of a data centre's assignment. */
  public static StoreKey assignment(DataCentreId dataCentre) {
    return new StoreKey(ownershipPrefix(dataCentre) + ASSIGNMENT);
  }

  /** Returns the key of the lease of one incarnation. */
  public static StoreKey lease(DataCentreId dataCentre, InstanceId instance) {
    return new StoreKey(ownershipPrefix(dataCentre) + "lease/" + instance);
  }

  /** Returns the key of the pointer to the current version of the operators' table. */
  public static StoreKey table() {
    return new StoreKey("table/current");
  }

  /** Returns the key of the content of one version of the operators' table. */
  public static StoreKey tableHistory(long version) {
    return new StoreKey("table/history/%09d".formatted(version));
  }

  /** Returns the key of the claim on one non-idempotent request. */
  public static StoreKey claim(CallerId caller, String key) {
    return new StoreKey("claim/" + caller + "/" + key);
  }

  /** Returns the prefix of all live tasks of a data centre. */
  public static String tasksPrefix(DataCentreId dataCentre) {
    return "task/" + dataCentre + "/";
  }

  /** Returns the prefix of one bucket of live tasks. */
  public static String bucketPrefix(DataCentreId dataCentre, int bucket) {
    return tasksPrefix(dataCentre) + "%02d/".formatted(bucket);
  }

  /** Returns the key of a live task. */
  public static StoreKey task(DataCentreId dataCentre, TaskId task) {
    return new StoreKey(bucketPrefix(dataCentre, bucketOf(task)) + task);
  }

  /** Returns the key of a task that has ended. */
  public static StoreKey endedTask(DataCentreId dataCentre, TaskId task) {
    return new StoreKey("ended/" + dataCentre + "/" + task);
  }

  /** Returns the bucket of a task, from 0 to {@link #BUCKETS} - 1. */
  public static int bucketOf(TaskId task) {
    return Math.floorMod(task.value().hashCode(), BUCKETS);
  }

  @Override
  public String toString() {
    return value;
  }
}
