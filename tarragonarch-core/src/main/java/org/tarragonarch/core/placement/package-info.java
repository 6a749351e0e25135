/** The choice of the endpoint to which a task is sent. */
package org.tarragonarch.core.placement;
