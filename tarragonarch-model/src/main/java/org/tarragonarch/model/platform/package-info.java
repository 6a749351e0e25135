/** What the platform lists and keeps: VMs, the configuration row and claims. */
package org.tarragonarch.model.platform;
