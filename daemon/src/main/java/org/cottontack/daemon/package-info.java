/**
 * The process of an entry instance: one engine thread runs the core, which has no side effects, and
 * adapters connect the engine to the outside.
 */
package org.cottontack.daemon;
