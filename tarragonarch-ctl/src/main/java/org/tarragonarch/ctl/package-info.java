/** The ctl module. */
package org.tarragonarch.ctl;
