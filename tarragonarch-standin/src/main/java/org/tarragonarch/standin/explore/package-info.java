/** Drives several nodes' cores on virtual time against small fakes, and checks the promises after every step. */
package org.tarragonarch.standin.explore;
