/** Stand-ins of all external systems, for tests and trials. They are never part of a release. */
package org.cottontack.standin;
