package org.tarragonarch.standin.process;

import org.tarragonarch.standin.StandInControl;

/**
 * A stand-in endpoint that runs as a process of its own.
 *
 * @param name the endpoint's name
 * @param process its process
 * @param control its switches and ledger
 */
record EndpointProcess(String name, JvmProcess process, StandInControl control) {}
