/** Limits of running tasks by team and service, divided among the nodes of a failure domain. */
package org.tarragonarch.core.quota;
