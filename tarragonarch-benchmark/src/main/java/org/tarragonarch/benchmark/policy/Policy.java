package org.tarragonarch.benchmark.policy;

import java.time.Duration;
import org.tarragonarch.core.placement.PlacementStrategy;

/**
 * One set of decisions to compare.
 *
 * @param name the column's heading
 * @param placement how an endpoint is chosen
 * @param fairQueue whether the core's queue orders the work; if not, tasks start in the order in which they came
 * @param reportInterval how often each node reports to the peers of its failure domain
 */
record Policy(String name, PlacementStrategy placement, boolean fairQueue, Duration reportInterval) {}
