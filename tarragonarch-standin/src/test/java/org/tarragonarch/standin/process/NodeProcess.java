package org.tarragonarch.standin.process;

import org.tarragonarch.model.id.Address;

/**
 * An entry node that runs as a process of its own.
 *
 * @param name the node's name
 * @param process its process
 * @param caller its caller address
 * @param admin its administration address
 */
record NodeProcess(String name, JvmProcess process, Address caller, Address admin) {}
