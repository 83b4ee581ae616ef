/**
 * Jobs made of steps of tasks: job definitions, their progress, the placement of tasks on workers,
 * and the leader's decisions about them. The code is free of side effects: time arrives with each
 * event, and effects are returned as data.
 */
package org.cottontack.core.job;
