package org.tarragonarch.benchmark.policy;

import java.time.Duration;
import org.tarragonarch.core.placement.PlacementStrategy;

/**
 * A policy to compare.
 *
 * @param name the name in the printed table
 * @param placement the strategy that chooses an endpoint
 * @param fairQueue whether the core's fair queue orders the tasks, which otherwise start in order of arrival
 * @param reportInterval the interval between reports to the peers of a failure domain
 */
record Policy(String name, PlacementStrategy placement, boolean fairQueue, Duration reportInterval) {}
