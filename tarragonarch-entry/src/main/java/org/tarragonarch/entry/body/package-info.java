/** Storage of the inputs and results of tasks, which never pass through the control thread. */
package org.tarragonarch.entry.body;
