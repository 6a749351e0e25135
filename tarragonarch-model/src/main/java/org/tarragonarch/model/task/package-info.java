/** Jobs of several tasks, the endpoints that run them under a lease, and what the two say to each other. */
package org.tarragonarch.model.task;
