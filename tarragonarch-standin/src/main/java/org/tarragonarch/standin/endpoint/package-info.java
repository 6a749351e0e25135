/** The stand-in for endpoints, which runs small tasks in slots, records task starts and fails on demand. */
package org.tarragonarch.standin.endpoint;
