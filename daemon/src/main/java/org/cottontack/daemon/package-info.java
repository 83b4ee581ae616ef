/**
 * The entry instance process: one engine thread around the pure core, adapters around the engine.
 */
package org.cottontack.daemon;
