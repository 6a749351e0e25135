/** Which endpoint a task is sent to. */
package org.tarragonarch.core.placement;
