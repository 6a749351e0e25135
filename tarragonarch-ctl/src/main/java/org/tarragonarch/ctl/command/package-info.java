/** The commands of the operator program, one type each. */
package org.tarragonarch.ctl.command;
