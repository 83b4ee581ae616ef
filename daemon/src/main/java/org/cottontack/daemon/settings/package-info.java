/** Settings of the process, read from YAML and validated at startup. */
package org.cottontack.daemon.settings;
