/** The endpoints known to a node, with their health and load, and the selection of endpoints for tasks. */
package org.tarragonarch.core.endpoint;
