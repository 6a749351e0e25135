/** Everything a node can ask its shell to do, as typed actions. */
package org.tarragonarch.core.action;
