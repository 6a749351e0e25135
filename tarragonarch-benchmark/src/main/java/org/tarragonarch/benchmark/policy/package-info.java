/**
 * Compares policies on virtual time.
 *
 * <p>Drives the core's endpoint directory, queue and estimator of several nodes against modelled endpoints. It measures
 * decisions only: no submissions, claims, configuration or bytes are modelled.
 */
package org.tarragonarch.benchmark.policy;
