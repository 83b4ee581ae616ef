/** Decides which jobs are accepted and in progress while more work arrives than can be done. */
package org.cottontack.core.admission;
