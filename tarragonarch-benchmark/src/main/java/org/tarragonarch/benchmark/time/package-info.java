/** Virtual time for simulations that run faster than real time. */
package org.tarragonarch.benchmark.time;
