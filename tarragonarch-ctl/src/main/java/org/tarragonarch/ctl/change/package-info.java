/** Configuration changes: acceptance, conflicts, and rollout in every failure domain. */
package org.tarragonarch.ctl.change;
