/** The commands of the operator program, one class each. */
package org.tarragonarch.ctl.command;
