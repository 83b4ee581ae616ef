/**
 * The entry instance for jobs: accepts them into the platform's store, elects a leader through it,
 * and carries out the leader's decisions. What the platform's calls look like is behind {@link
 * org.cottontack.daemon.job.TableStore} and {@link org.cottontack.daemon.job.WorkerClient}.
 */
package org.cottontack.daemon.job;
