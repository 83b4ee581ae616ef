/** Stand-ins of everything outside the product, for tests and trials; never part of a release. */
package org.cottontack.standin;
