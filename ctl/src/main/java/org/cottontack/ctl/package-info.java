/** The command-line tool {@code cottontackctl} for operators. */
package org.cottontack.ctl;
