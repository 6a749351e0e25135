/** Simulations of the node's decisions on virtual time, and measurements of the cost of one decision. */
package org.tarragonarch.benchmark;
