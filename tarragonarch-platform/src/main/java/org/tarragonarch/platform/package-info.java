/**
 * Access of entry nodes and operators to the platform: its table service, object store and list of VMs.
 *
 * <p>{@link org.tarragonarch.platform.PlatformClient} provides the implementations of the interfaces; they use the
 * protocol of docs/PLATFORM-PROTOCOL.md.
 */
package org.tarragonarch.platform;
