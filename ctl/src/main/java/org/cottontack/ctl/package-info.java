/** The operators command {@code cottontackctl}. */
package org.cottontack.ctl;
