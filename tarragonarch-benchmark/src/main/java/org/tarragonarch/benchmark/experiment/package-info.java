/**
 * Plays a load against the real decisions of several nodes on virtual time, and reports on each kind of job.
 *
 * <p>Modelled are the endpoints, the network and the callers; everything between them is the nodes' own code.
 */
package org.tarragonarch.benchmark.experiment;
