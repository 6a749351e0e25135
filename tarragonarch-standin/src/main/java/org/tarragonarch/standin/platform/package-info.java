/** The stand-in for the platform: in-memory tables, objects and list of VMs, with switchable faults. */
package org.tarragonarch.standin.platform;
