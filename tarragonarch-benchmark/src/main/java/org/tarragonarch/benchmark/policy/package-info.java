/**
 * Compares placement and queue policies by simulation on virtual time.
 *
 * <p>Runs the core's endpoint directory, queue and estimator of several nodes against modelled endpoints. Submissions,
 * claims, configuration and serialization are not modelled.
 */
package org.tarragonarch.benchmark.policy;
