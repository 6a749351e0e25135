/** The logic of a node, free of clocks, threads, input and output; its subpackages hold the parts. */
package org.tarragonarch.core;
