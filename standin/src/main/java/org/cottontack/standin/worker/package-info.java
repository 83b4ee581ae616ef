/** A stand-in of workers. */
package org.cottontack.standin.worker;
