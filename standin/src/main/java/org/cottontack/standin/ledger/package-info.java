/** Record of what actually ran, kept independently of the scheduler. */
package org.cottontack.standin.ledger;
