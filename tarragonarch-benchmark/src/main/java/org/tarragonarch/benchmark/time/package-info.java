/** Time that is only counted, for runs that take seconds of it in moments. */
package org.tarragonarch.benchmark.time;
