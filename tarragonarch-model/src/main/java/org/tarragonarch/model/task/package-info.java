/** Jobs of several tasks, the endpoints that run them under a lease, and the orders to the endpoints. */
package org.tarragonarch.model.task;
