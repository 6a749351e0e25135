/** The client that sends tasks to endpoints and says exactly what is certain of each. */
package org.tarragonarch.entry.endpoint;
