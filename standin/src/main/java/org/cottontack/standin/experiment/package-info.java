/** Experiments that send load to real processes over loopback, without a simulator. */
package org.cottontack.standin.experiment;
