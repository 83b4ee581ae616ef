/** Value types for identifiers. */
package org.cottontack.core.id;
