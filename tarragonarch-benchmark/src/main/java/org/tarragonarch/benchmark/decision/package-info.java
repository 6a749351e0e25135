/** Measures the processor time (with JMH) and the memory (as heap use) of placement decisions. */
package org.tarragonarch.benchmark.decision;
