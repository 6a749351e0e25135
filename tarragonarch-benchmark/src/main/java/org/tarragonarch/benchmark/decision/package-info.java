/** The processor time and memory of one decision, by JMH and by measuring the heap. */
package org.tarragonarch.benchmark.decision;
