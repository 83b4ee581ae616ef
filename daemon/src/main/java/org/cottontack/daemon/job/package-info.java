/**
 * The entry instance for jobs: accepts jobs into the platform's store, elects a leader through the
 * store, and carries out the leader's decisions. {@link org.cottontack.daemon.job.TableStore} and
 * {@link org.cottontack.daemon.job.WorkerClient} hide the format of the platform's calls.
 */
package org.cottontack.daemon.job;
