/**
 * What entry nodes and operators use of the platform: its table service, object store and list of VMs.
 *
 * <p>The interfaces say what is needed; {@link org.tarragonarch.platform.PlatformClient} meets them over the protocol
 * of docs/PLATFORM-PROTOCOL.md.
 */
package org.tarragonarch.platform;
