/** The stand-in for the platform: tables, objects and the list of VMs in memory, with switches for faults. */
package org.tarragonarch.standin.platform;
