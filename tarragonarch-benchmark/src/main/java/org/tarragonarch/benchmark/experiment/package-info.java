/**
 * Simulates a load on several nodes on virtual time, and reports the results by kind of job.
 *
 * <p>The endpoints, the network and the callers are modelled; the nodes run the core's own code.
 */
package org.tarragonarch.benchmark.experiment;
