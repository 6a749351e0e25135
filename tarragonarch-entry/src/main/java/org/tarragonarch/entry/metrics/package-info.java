/** The Prometheus metrics of the node. */
package org.tarragonarch.entry.metrics;
