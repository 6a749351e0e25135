/** Changes of the configuration: acceptance, conflicts, and the way into force in every failure domain. */
package org.tarragonarch.ctl.change;
