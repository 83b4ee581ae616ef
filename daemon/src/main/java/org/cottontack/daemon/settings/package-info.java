/** Settings of the process, read from YAML and checked at start. */
package org.cottontack.daemon.settings;
