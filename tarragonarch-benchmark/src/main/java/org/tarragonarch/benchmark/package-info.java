/** Measurements of the node's decisions: policies on virtual time, and the cost of one decision. */
package org.tarragonarch.benchmark;
