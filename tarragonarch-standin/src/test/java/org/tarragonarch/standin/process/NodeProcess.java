package org.tarragonarch.standin.process;

import org.tarragonarch.model.id.Address;

/**
 * An entry node in a separate process.
 *
 * @param name the node's name
 * @param process the process
 * @param caller the address for callers
 * @param admin the address of the administration API
 */
record NodeProcess(String name, JvmProcess process, Address caller, Address admin) {}
