/** The events of the nodes' logs, shared by the writer and the readers of the log lines. */
package org.tarragonarch.model.log;
