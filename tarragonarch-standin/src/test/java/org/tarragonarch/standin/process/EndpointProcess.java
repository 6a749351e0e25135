package org.tarragonarch.standin.process;

import org.tarragonarch.standin.StandInControl;

/**
 * A stand-in endpoint in a separate process.
 *
 * @param name the endpoint's name
 * @param process the process
 * @param control sets faults and reads the ledger
 */
record EndpointProcess(String name, JvmProcess process, StandInControl control) {}
