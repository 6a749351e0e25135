/** The records that the platform provides and stores: VMs, the configuration row and claims. */
package org.tarragonarch.model.platform;
