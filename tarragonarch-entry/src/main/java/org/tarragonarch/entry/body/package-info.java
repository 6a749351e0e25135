/** The bytes of tasks and results, which never cross the control thread. */
package org.tarragonarch.entry.body;
