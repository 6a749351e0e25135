/** The output of the operator program: aligned tables or JSON. */
package org.tarragonarch.ctl.output;
