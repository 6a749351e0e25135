/** The actions that are the output of a node, carried out by its shell. */
package org.tarragonarch.core.action;
