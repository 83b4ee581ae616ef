/** Experiments: drive real processes over loopback and count; no simulator. */
package org.cottontack.standin.experiment;
