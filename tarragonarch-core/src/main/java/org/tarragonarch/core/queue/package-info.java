/** The order in which waiting jobs get their next task started. */
package org.tarragonarch.core.queue;
