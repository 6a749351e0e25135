/** Queues of waiting tasks, which determine the order of starts between teams and jobs. */
package org.tarragonarch.core.queue;
