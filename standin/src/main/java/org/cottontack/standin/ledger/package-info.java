/** What really ran, counted by someone other than the scheduler. */
package org.cottontack.standin.ledger;
