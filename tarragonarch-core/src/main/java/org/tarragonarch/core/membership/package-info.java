/** Detection of the nodes that are alive, and the reports sent to them. */
package org.tarragonarch.core.membership;
