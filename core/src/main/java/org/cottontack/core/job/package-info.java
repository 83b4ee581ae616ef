/**
 * Jobs made of steps of tasks: what a job is, how far it has come, which worker runs what, and the
 * leader's decisions about them. Pure: time comes with each event, effects are data.
 */
package org.cottontack.core.job;
